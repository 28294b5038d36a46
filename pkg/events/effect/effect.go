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

// Effect is one output of control; Deed says which fields are set.
type Effect struct {
	Action  action.Action
	Request kvreq.Request
	Digest  digest.Digest
	// Peer and Addr are the entry that Send and Ask go to.
	Peer string
	Addr netip.AddrPort
	// CorrelationID is that of the event which Answer and Give answer.
	CorrelationID uint64
	Snapshot      *snap.Snapshot
	// Changed lists the services that differ from the snapshot before.
	Changed []string
	Fact    fact.Fact
	Demand  demand.Demand
	Credits []credit.Credit
	TTL     time.Duration
	// Service and Upstream are what Probe and Credit are about; Addr is where to probe.
	Service  string
	Upstream string
	Message  logmsg.Message
}
