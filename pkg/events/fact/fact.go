package fact

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
)

// Fact is news about one upstream, fingerprint, rollout or service that is valid until a given time.
type Fact struct {
	Topic topic.Topic
	// Subject is the name of the upstream, rollout or service, or the fingerprint as text.
	Subject string
	// Value is the upstream's incarnation for ColdStart and, if it is known, for Draining; for Poison it is the number of
	// crashes, and for Pressure the priority.
	Value uint64
	// Origin is the name of the entry that first saw it.
	Origin string
	// Until is the time at which the fact expires.
	Until time.Time
	// Detail explains to operators what the fact is based on.
	Detail string
	// Tallies are the outcomes that an Evidence fact reports, counted since the origin's previous report.
	Tallies []tally.Tally
}
