// Package clock provides the current time and timers.
package clock
