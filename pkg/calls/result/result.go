package result

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/report"
)

// Result is the end of an attempt as far as decisions need it.
type Result struct {
	Cause cause.Cause
	// Status is the HTTP status of the answer; 0 without one.
	Status int
	// Latency is the time from sending to the head of the answer.
	Latency time.Duration
	// Report is the load that came with the answer; nil without one.
	Report *report.Report
	// ConnClose is set when the upstream closes a connection that could have been kept.
	ConnClose bool
	// WrongInstance is set when another upstream answers at the address.
	WrongInstance bool
	// NoRetry is set when the upstream says that a retry is of no use.
	NoRetry bool
}

// NotSent reports whether nothing of the call reached an upstream.
func (r *Result) NotSent() bool { return r.Cause == cause.Unsent || r.Cause == cause.DialFailed }

// MayHaveRun reports whether the upstream may have run the call.
func (r *Result) MayHaveRun() bool {
	return r.Cause != cause.Shed && !r.NotSent()
}
