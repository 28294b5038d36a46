package clock

import "time"

// Clock tells the time and sets timers.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// Timer returns a channel that receives once after d, and a function that stops it.
	Timer(d time.Duration) (<-chan time.Time, func())
}

type wall struct{}

// Wall returns the clock of the machine.
func Wall() Clock { return wall{} }

func (wall) Now() time.Time { return time.Now() }

func (wall) Timer(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}
