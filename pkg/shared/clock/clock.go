package clock

import "time"

// Clock provides the current time and timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Timer returns a channel that receives the time once, after d, and a function that stops the timer.
	Timer(d time.Duration) (<-chan time.Time, func())
}

type wall struct{}

// Wall returns the system clock.
func Wall() Clock { return wall{} }

func (wall) Now() time.Time { return time.Now() }

func (wall) Timer(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}
