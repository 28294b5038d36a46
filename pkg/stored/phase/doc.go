// Package phase names the stages of a version move.
package phase
