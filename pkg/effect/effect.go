package effect

import (
	"net/netip"
	"time"

	"github.com/balsamvale/balsamvale/pkg/credit"
	"github.com/balsamvale/balsamvale/pkg/deed"
	"github.com/balsamvale/balsamvale/pkg/demand"
	"github.com/balsamvale/balsamvale/pkg/digest"
	"github.com/balsamvale/balsamvale/pkg/fact"
	"github.com/balsamvale/balsamvale/pkg/note"
	"github.com/balsamvale/balsamvale/pkg/order"
	"github.com/balsamvale/balsamvale/pkg/snap"
)

// Effect is one output of control; Deed says which fields are set.
type Effect struct {
	Deed   deed.Deed
	Order  order.Order
	Digest digest.Digest
	// Peer and Addr are the entry that Send and Ask go to.
	Peer string
	Addr netip.AddrPort
	// Tag is that of the event which Answer and Give answer.
	Tag      uint64
	Snapshot *snap.Snapshot
	// Changed lists the services that differ from the snapshot before.
	Changed []string
	Fact    fact.Fact
	Ask     demand.Demand
	Credits []credit.Credit
	TTL     time.Duration
	// Service and Upstream are what Probe and Credit are about; Addr is where to probe.
	Service  string
	Upstream string
	Note     note.Note
}
