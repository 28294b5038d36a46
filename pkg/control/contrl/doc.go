// Package contrl is the state machine of an entry's control side.
package contrl
