// Package evkind defines the kinds of events that the control state machine accepts.
package evkind
