// Package effect defines the outputs of the control state machine.
package effect
