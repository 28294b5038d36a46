// Package phase defines the phases of a rollout.
package phase
