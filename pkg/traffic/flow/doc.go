// Package flow implements the state machine of a call, from its arrival to its outcome.
package flow
