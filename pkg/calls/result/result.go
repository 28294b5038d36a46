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
	// Took is the time from sending to the head of the answer.
	Took time.Duration
	// Report is the load that came with the answer; nil without one.
	Report *report.Report
	// Closing is set when the upstream closes a connection that could have been kept.
	Closing bool
	// Stranger is set when another upstream answers at the address.
	Stranger bool
	// Final is set when the upstream says that a retry is of no use.
	Final bool
}

// Unsent reports whether nothing of the call reached an upstream.
func (r *Result) Unsent() bool { return r.Cause == cause.Unsent || r.Cause == cause.Down }

// Ran reports whether the upstream may have run the call.
func (r *Result) Ran() bool {
	return r.Cause != cause.Shed && !r.Unsent()
}
