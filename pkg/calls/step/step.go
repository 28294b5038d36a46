package step

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
)

// Step is one instruction from a flow to its driver.
type Step struct {
	Stage stage.Stage
	// Attempt is the number of the attempt to send or to deliver, from 0.
	Attempt int
	// Choice is the routing decision behind the step, if there is one.
	Choice choice.Choice
	// ProbeTargets lists the upstreams to probe when Stage is Probe.
	ProbeTargets []*target.Target
	// TimerAt is when the driver calls TimerFired, or Probed for a Probe step, unless another event comes first; zero for
	// never.
	TimerAt time.Time
	// Outcome is what the caller can know of the call once the step ends it.
	Outcome outcom.Outcome
	Reason  reason.Reason
	// NoRetry is set when the caller should not retry.
	NoRetry bool
}
