package circ

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Breaker is the circuit breaker of one upstream; its zero value is closed.
//
// It opens after consecutive failures, and then lets one trial call through at a time. It is not safe for concurrent use;
// its owner locks it.
type Breaker struct {
	failures int
	// openFor is how long the circuit stays open before a trial; 0 while it is closed.
	openFor       time.Duration
	openUntil     time.Time
	trialInFlight bool
}

// Allows reports whether a call may be sent, and whether it would be a trial.
func (b *Breaker) Allows(now time.Time) (pass, trial bool) {
	if b.openFor == 0 {
		return true, false
	}
	if b.trialInFlight || now.Before(b.openUntil) {
		return false, false
	}
	return true, true
}

// StartTrial records that a trial is in flight, if the circuit is open.
func (b *Breaker) StartTrial() {
	if b.openFor > 0 {
		b.trialInFlight = true
	}
}

// Succeed closes the circuit and resets its state.
func (b *Breaker) Succeed() { *b = Breaker{} }

// Cancel ends a trial without a result.
func (b *Breaker) Cancel() { b.trialInFlight = false }

// Fail counts a failure and opens the circuit after tune.BreakerFailures consecutive ones.
func (b *Breaker) Fail(now time.Time) {
	b.failures++
	b.trialInFlight = false
	if b.failures >= tune.BreakerFailures {
		b.Open(now)
	}
}

// Open opens the circuit; the time doubles each time in a row, up to tune.BreakerMaxOpen.
//
// It does not extend the time of a circuit that is open already.
func (b *Breaker) Open(now time.Time) {
	b.trialInFlight = false
	if now.Before(b.openUntil) {
		return
	}
	b.openFor = min(max(2*b.openFor, tune.BreakerMinOpen), tune.BreakerMaxOpen)
	b.openUntil = now.Add(b.openFor)
}

// Opened reports whether the circuit is open, including while it waits for a trial.
func (b *Breaker) Opened() bool { return b.openFor > 0 }
