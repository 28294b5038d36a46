package circ

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Breaker opens after failures in a row and lets single trials through; the owner locks it.
type Breaker struct {
	failures      int
	pause         time.Duration
	until         time.Time
	trialInFlight bool
}

// Allows reports whether a call may pass, and whether it would be a trial.
func (b *Breaker) Allows(now time.Time) (pass, trial bool) {
	if b.pause == 0 {
		return true, false
	}
	if b.trialInFlight || now.Before(b.until) {
		return false, false
	}
	return true, true
}

// StartTrial marks the trial of an open circuit as running.
func (b *Breaker) StartTrial() {
	if b.pause > 0 {
		b.trialInFlight = true
	}
}

// Succeed closes the circuit.
func (b *Breaker) Succeed() { *b = Breaker{} }

// Cancel ends a trial that told nothing.
func (b *Breaker) Cancel() { b.trialInFlight = false }

// Fail counts a failure and opens the circuit when there were enough in a row.
func (b *Breaker) Fail(now time.Time) {
	b.failures++
	b.trialInFlight = false
	if b.failures >= tune.BreakerFailures {
		b.Open(now)
	}
}

// Open opens the circuit, for longer each time in a row.
func (b *Breaker) Open(now time.Time) {
	b.trialInFlight = false
	if now.Before(b.until) {
		return
	}
	b.pause = min(max(2*b.pause, tune.BreakerMinOpen), tune.BreakerMaxOpen)
	b.until = now.Add(b.pause)
}

// Opened reports whether the circuit is open.
func (b *Breaker) Opened() bool { return b.pause > 0 }
