package flow

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
)

// Withhold ends an attempt that the driver did not start although the last step was to send it, because the call may not be sent any
// more. Attempts that are in flight go on, no further one begins, and without one the call is refused for the given reason.
func (f *Flow) Withhold(now time.Time, id int, why reason.Reason) step.Step {
	f.stopping = true
	f.inFlight--
	f.pool.RecordResult(now, &f.attempts[id].choice, &result.Result{Cause: cause.Canceled})
	f.close(now, id)
	if f.inFlight > 0 {
		return f.wait()
	}
	return f.refuse(why)
}
