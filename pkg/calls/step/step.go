package step

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
)

// Step is one instruction of a flow to its driver.
type Step struct {
	Stage stage.Stage
	// Attempt numbers the attempt to send or to deliver.
	Attempt int
	// Choice is the routing decision behind Send and Refuse.
	Choice choice.Choice
	// ProbeTargets lists the upstreams to ask for their load, when Stage is Ask.
	ProbeTargets []*target.Target
	// TimerAt is when the driver calls Alarm unless something else happens first; zero for never.
	TimerAt time.Time
	Outcome outcom.Outcome
	Reason  reason.Reason
	// NoRetry is set when the caller should not retry.
	NoRetry bool
}
