package event

import (
	"github.com/balsamvale/balsamvale/pkg/calls/demand"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
)

// Event is one input of control; Signal says which field is set.
type Event struct {
	Kind     evkind.Kind
	Response kvresp.Response
	Digest   digest.Digest
	Fact     fact.Fact
	Demand   demand.Demand
	// Peer is the entry that a Missed digest was for.
	Peer string
	// CorrelationID is given back with the effect that answers the event.
	CorrelationID uint64
}
