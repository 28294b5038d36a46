package digest

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Digest is one gossip message: the revision of the sender's replica, unexpired facts, and store changes that the
// receiver lacks.
type Digest struct {
	// From is the name of the sending entry.
	From string
	// Revision is the store revision up to which the sender's replica is complete.
	Revision revno.Revision
	// Matched is when the sender's replica was last known to match the store, by the clock of the entry that holds the digest. What the
	// sender gives is an age, which the receiver counts from the arrival, or for an answer from before it asked.
	Matched proof.Proof
	// InvalidAge is set if the sender gave an age that no replica can have.
	InvalidAge bool
	Facts      []fact.Fact
	Delta      delta.Delta
	// Brief is set if the sender does not ask for large changes: the receiver only offers them in its answer.
	Brief bool
	// Offer is set if the receiver lacks changes that are left out because they are large. It gets them if it asks for them.
	Offer bool
	// NoEras is set if the sender is of a build that does not know eras, whose revisions are plain numbers of any era.
	NoEras bool
	// WantsKept is set while the sender may know of the store's era only what an older copy holds.
	WantsKept bool
	// Kept holds what the sender keeps in force although the store was restored from an older copy, with revisions of earlier eras. The
	// value of a tombstone is the one that was removed. KeptFor is the time until the sender's transition to the new era ends,
	// also if it keeps nothing, and KeptLeft the time for which it keeps each item; nil from a build that does not say.
	Kept     []item.Item
	KeptFor  time.Duration
	KeptLeft []time.Duration
	// FactsUpto is set if the facts are all those that the sender has numbered above FactsSince, up to FactsUpto, but for those that
	// it knows the receiver to have.
	FactsSince, FactsUpto uint64
	// FactsAck is the number up to which the sender has all facts of the receiver; 0 if it has none or does not say.
	FactsAck uint64
}
