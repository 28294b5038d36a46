package clock

import "time"

// Clock provides the current time and timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Timer returns a channel that receives the time once, after d, and a function that stops the timer.
	Timer(d time.Duration) (<-chan time.Time, func())
}

// Elapsed returns the time from at to now for a bound that must hold although a clock fails: the longer of what the monotonic clock
// and the wall clock say. The monotonic clock may not count the time for which a host was suspended, and the wall clock may be set.
func Elapsed(now, at time.Time) time.Duration { return max(now.Sub(at), now.Round(0).Sub(at.Round(0))) }

type wall struct{}

// Wall returns the system clock.
func Wall() Clock { return wall{} }

func (wall) Now() time.Time { return time.Now() }

func (wall) Timer(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}
