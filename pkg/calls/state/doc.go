// Package state defines the states of the call that holds an idempotency key.
package state
