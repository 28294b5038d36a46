package choice

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
)

// Choice is the decision to send, hold or refuse a call.
type Choice struct {
	// Stage is Send, Wait or Refuse.
	Stage  stage.Stage
	Reason reason.Reason
	// Target is the upstream chosen; nil unless Stage is Send.
	Target *target.Target
	// At is the time of the decision.
	At time.Time
	// PredictedWait is the predicted time until the answer.
	PredictedWait time.Duration
	// Load is the predicted number of calls at the target, and Pace how much longer than usual work takes there.
	Load, Slowdown float64
	// ReportAge is that of the target's last report; negative when there is none.
	ReportAge time.Duration
	// Limit and Waiting are the calls that the service may have under way in this entry, and those that wait beyond it.
	AdmitLimit, AdmitWaiting int
	// HedgeDelay is the time after which a second attempt is worth its cost; 0 for never.
	HedgeDelay time.Duration
	// CreditID is the credit spent on a cold upstream; 0 for none.
	CreditID uint64
	// CreditUntil is the time at which the credit lapses; zero for none.
	CreditUntil time.Time
	// Route is that of the call.
	Route string
	// Bulk is set when the call gives way to interactive ones.
	Bulk bool
	// Out, Leaving, Cold, Open, Conns, Busy and Tried count the upstreams filtered out.
	SkippedUnavailable, SkippedDraining, SkippedCold, SkippedCircuitOpen, SkippedConnLimit, SkippedBusy, SkippedTried int
}
