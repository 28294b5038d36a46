package fact

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
)

// Fact is news about one subject that holds until a time.
type Fact struct {
	Topic   topic.Topic
	Subject string
	// Value is a start identity, or a count of crashes.
	Value uint64
	// Origin is the entry that saw it first.
	Origin string
	Until  time.Time
	// Detail is the evidence, for operators.
	Detail string
	// Tallies are the outcomes that evidence consists of, since the entry told of others.
	Tallies []tally.Tally
}
