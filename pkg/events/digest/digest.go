package digest

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
)

// Digest is one gossip message: the revision of the sender's replica, unexpired facts, and store changes that the
// receiver lacks.
type Digest struct {
	// From is the name of the sending entry.
	From string
	// Revision is the store revision up to which the sender's replica is complete.
	Revision int64
	// Age is the time since the sender's replica was last known to match the store.
	Age   time.Duration
	Facts []fact.Fact
	Delta delta.Delta
	// Brief is set if the sender does not ask for large changes: the receiver only offers them in its answer.
	Brief bool
	// Offer is set if the receiver lacks changes that are left out because they are large. It gets them if it asks for them.
	Offer bool
	// FactsUpto is set if the facts are all those that the sender has numbered above FactsSince, up to FactsUpto, but for those that
	// it knows the receiver to have.
	FactsSince, FactsUpto uint64
	// FactsAck is the number up to which the sender has all facts of the receiver; 0 if it has none or does not say.
	FactsAck uint64
}
