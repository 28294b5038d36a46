// Package event defines the inputs of the control state machine.
package event
