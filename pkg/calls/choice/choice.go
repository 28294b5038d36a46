package choice

import (
	"cmp"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Choice is the decision to send, admit, queue or refuse a call.
type Choice struct {
	// Stage is Send, Probe (the call is admitted), Wait or Refuse.
	Stage  stage.Stage
	Reason reason.Reason
	// Target is the chosen upstream; nil unless Stage is Send.
	Target *target.Target
	// At is the time of the decision.
	At time.Time
	// PredictedWait is the expected time until the response.
	PredictedWait time.Duration
	// RetryAfter is when the caller of a refused call may come back; 0 for the predicted wait.
	RetryAfter time.Duration
	// Load is the predicted number of calls at the target; Slowdown is how much longer than usual work takes there, as a
	// factor.
	Load, Slowdown float64
	// Free is the estimated number of free places at the target before the call.
	Free float64
	// ReportAge is the age of the target's last load report; negative without one.
	ReportAge time.Duration
	// AdmitLimit is the number of calls that this entry admits for the service at once; AdmitWaiting is the number of
	// calls that wait for admission.
	AdmitLimit, AdmitWaiting int
	// Work is the expected run time of a call that admission refuses, Value what an answer was worth, from 0 to 1, and Position
	// the number of waiting calls that went before it.
	Work     time.Duration
	Value    float64
	Position int
	// HedgeDelay is the time after which a hedge may be sent; 0 for never.
	HedgeDelay time.Duration
	// CreditID identifies the credit spent on a cold upstream; 0 for none.
	CreditID uint64
	// CreditUntil is the time limit that the credit sets for the attempt; zero for none.
	CreditUntil time.Time
	// Route is the path prefix of the call's route.
	Route string
	// Bulk is set for calls of class Bulk.
	Bulk bool
	// The Skipped fields count the upstreams that were ruled out, by the first reason that applied.
	SkippedUnavailable, SkippedDraining, SkippedCold, SkippedCircuitOpen, SkippedConnLimit, SkippedBusy, SkippedLimited, SkippedPaused, SkippedTried int
}

// RetryDelay returns the time after which the caller of a refused call may find capacity: RetryAfter or the predicted wait, but
// at least tune.MinRetryAfter.
func (c *Choice) RetryDelay() time.Duration {
	return max(tune.MinRetryAfter, cmp.Or(c.RetryAfter, c.PredictedWait))
}
