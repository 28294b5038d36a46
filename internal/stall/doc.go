// Package stall ends HTTP calls that no longer make progress.
package stall
