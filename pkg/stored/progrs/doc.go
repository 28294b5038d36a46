// Package progrs defines the stored progress of a rollout.
package progrs
