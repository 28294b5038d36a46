// Package contrl is the control state machine of an entry: events go in, and effects to carry out come out.
package contrl
