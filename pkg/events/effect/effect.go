package effect

import (
	"net/netip"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/credit"
	"github.com/balsamvale/balsamvale/pkg/calls/demand"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/logmsg"
	"github.com/balsamvale/balsamvale/pkg/shared/snap"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
)

// Effect is one thing that control wants done; Action says which fields are set.
type Effect struct {
	Action action.Action
	// Request is the store request of CallStore.
	Request kvreq.Request
	// Digest is the message of SendDigest and AnswerDigest.
	Digest digest.Digest
	// Peer is the name of the entry that SendDigest and RequestCredits go to.
	Peer string
	// Remote is set if Peer, or the peer that AnswerDigest and GrantCredits go to, is in another failure domain.
	Remote bool
	// Addr is the address of Peer, or that of the upstream for ProbeUpstream.
	Addr netip.AddrPort
	// CorrelationID is that of the event which AnswerDigest and GrantCredits answer.
	CorrelationID uint64
	// FetchID identifies the request of SendDigest for changes that this entry lacks; 0 for other digests. The event with the
	// answer, or without one, carries it too.
	FetchID uint64
	// Snapshot is the configuration that PublishSnapshot puts in force.
	Snapshot *snap.Snapshot
	// Changed lists the services that differ from the previous snapshot.
	Changed []string
	// Fact is the news of DeliverFact.
	Fact fact.Fact
	// Demand is the request of RequestCredits, or the one that DeliverCredits fulfills.
	Demand demand.Demand
	// Credits are those of GrantCredits and DeliverCredits.
	Credits []credit.Credit
	// TTL is how long the credits of GrantCredits are valid.
	TTL time.Duration
	// Service is the service that DeliverFact or ProbeUpstream concerns; empty for a poison or rollback fact and for an
	// unknown upstream.
	Service string
	// Upstream is the name of the upstream to probe.
	Upstream string
	// Message is the content of Log.
	Message logmsg.Message
}
