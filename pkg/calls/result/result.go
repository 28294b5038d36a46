package result

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/report"
	"github.com/balsamvale/balsamvale/pkg/calls/stmt"
)

// Result is the part of the result of an attempt that routing decisions depend on.
type Result struct {
	Cause cause.Cause
	// Status is the HTTP status of the response; 0 without one.
	Status int
	// Latency is the time from sending the request to the head of the response, or to the failure.
	Latency time.Duration
	// Report is the load report in the response; nil without one.
	Report *report.Report
	// Statement is what the response says of the calls that the upstream takes; nil without a response of that upstream.
	Statement *stmt.Statement
	// ConnClose is set when the upstream closes a connection that could have been reused.
	ConnClose bool
	// WrongInstance is set when another upstream responds at the address.
	WrongInstance bool
	// NoRetry is set when the upstream says that a retry is useless.
	NoRetry bool
}

// NotSent reports whether no part of the call reached the upstream.
func (r *Result) NotSent() bool { return r.Cause == cause.Unsent || r.Cause == cause.DialFailed }

// MayHaveRun reports whether the upstream may have run the call.
func (r *Result) MayHaveRun() bool {
	return r.Cause != cause.Shed && !r.NotSent()
}
