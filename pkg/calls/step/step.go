package step

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/fate"
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
	// Ask lists the upstreams to ask for their load, when Stage is Ask.
	Ask []*target.Target
	// Alarm is when the driver calls Alarm unless something else happens first; zero for never.
	Alarm  time.Time
	Fate   fate.Fate
	Reason reason.Reason
	// Final is set when the caller should not retry.
	Final bool
}
