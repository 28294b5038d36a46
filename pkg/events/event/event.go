package event

import (
	"github.com/balsamvale/balsamvale/pkg/calls/demand"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
)

// Event is one input of control; Kind says which fields are set.
type Event struct {
	Kind evkind.Kind
	// Response is the outcome of a store request, for StoreResponse.
	Response kvresp.Response
	// Digest is the peer's message, for DigestReceived and DigestAnswered.
	Digest digest.Digest
	// Fact is the news of FactReported.
	Fact fact.Fact
	// Demand is the request of CreditsRequested and CreditsNeeded.
	Demand demand.Demand
	// Peer is the name of the entry that did not answer, for PeerUnreachable.
	Peer string
	// FetchID is that of the digest which DigestAnswered or PeerUnreachable is the outcome of.
	FetchID uint64
	// CorrelationID identifies a DigestReceived or CreditsRequested; the effect that answers the event carries it too.
	CorrelationID uint64
}
