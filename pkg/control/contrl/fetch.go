package contrl

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// fetches requests the large changes that peers offer, from one peer at a time, so that each crosses the link of this entry
// once.
type fetches struct {
	// lastID is the ID of the last fetch.
	lastID uint64
	// id is the ID of the fetch under way, which asked peer at startedAt; 0 while there is none.
	id        uint64
	peer      string
	startedAt time.Time
	// offers holds the revision that each peer has offered, by entry name.
	offers map[string]revno.Revision
	// askedSeeds counts the fetches from seeds, and seedAt is when the next seed is due; zero before the first tick.
	askedSeeds int
	seedAt     time.Time
	// served are the times within tune.TransferWindow at which this entry has sent large changes itself.
	served []time.Time
}

// setDelta puts the changes that a peer lacks into a digest for it. Large ones are included only if the peer has asked for them,
// and neither included nor offered while this entry has sent as many as it may.
func (c *Control) setDelta(d *digest.Digest, changes delta.Delta, asked bool) {
	if changes.ValueBytes() <= tune.MaxPushBytes {
		d.Delta = changes
		return
	}
	f := &c.fetches
	f.served = slices.DeleteFunc(f.served, func(at time.Time) bool { return c.now.Sub(at) >= tune.TransferWindow })
	switch {
	case len(f.served) >= tune.MaxTransfers:
	case asked:
		f.served = append(f.served, c.now)
		d.Delta = changes
	default:
		d.Offer = true
	}
}

// noteOffer records that a peer offers changes which this entry lacks, and asks for them.
func (c *Control) noteOffer(d digest.Digest) {
	if d.Revision > c.replica.Revision() && c.config.Members[d.From] != nil {
		c.fetches.offers[d.From] = d.Revision
		c.fetch()
	}
}

// fetch asks the peer that has offered the highest revision for the changes that this entry lacks, unless it has asked another
// one less than tune.FetchTimeout ago.
func (c *Control) fetch() {
	f := &c.fetches
	if f.id != 0 {
		if c.now.Sub(f.startedAt) < tune.FetchTimeout {
			return
		}
		c.endFetch()
	}
	maps.DeleteFunc(f.offers, func(peer string, revision revno.Revision) bool {
		return revision <= c.replica.Revision() || c.config.Members[peer] == nil
	})
	best := ""
	for _, peer := range slices.Sorted(maps.Keys(f.offers)) {
		if best == "" || f.offers[peer] > f.offers[best] {
			best = peer
		}
	}
	if best == "" {
		return
	}
	f.lastID++
	f.id, f.peer, f.startedAt = f.lastID, best, c.now
	c.sendFetch(best, f.id)
}

// endFetch ends the fetch under way. The peer has to offer its changes again before it is asked again.
func (c *Control) endFetch() {
	delete(c.fetches.offers, c.fetches.peer)
	c.fetches.id = 0
}

// fetchDone ends the fetch under way if the event is its outcome, and begins the next if this entry still lacks changes.
func (c *Control) fetchDone(ev event.Event) {
	if ev.FetchID != 0 && ev.FetchID == c.fetches.id {
		c.endFetch()
		c.fetch()
		if c.fetches.askedSeeds%max(1, len(c.Seeds)) != 0 {
			c.fetches.seedAt = c.now
		}
		c.askSeeds()
	}
}

// askSeeds asks the next seed for the state of the fleet if this entry has none yet: once the store has failed or not answered
// for tune.SeedDelay, and again after that time if the previous seed has not answered. It pauses after a round, and ends with
// the first state, which is held if the seed is out of date.
func (c *Control) askSeeds() {
	f := &c.fetches
	if c.synced || len(c.Seeds) == 0 || c.heldDelta.Revision > 0 {
		return
	}
	if f.seedAt.IsZero() {
		f.seedAt = c.now.Add(tune.SeedDelay)
	}
	if first := f.askedSeeds == 0 && c.watcher.Failing(); !first && c.now.Before(f.seedAt) {
		return
	}
	addr := c.Seeds[f.askedSeeds%len(c.Seeds)]
	f.askedSeeds++
	f.seedAt = c.now.Add(tune.SeedDelay)
	if f.askedSeeds%len(c.Seeds) == 0 {
		f.seedAt = c.now.Add(tune.FetchTimeout)
	}
	f.lastID++
	f.id, f.peer, f.startedAt = f.lastID, "", c.now
	c.emit(effect.Effect{Action: action.SendDigest, Addr: addr, Digest: digest.Digest{From: c.self.Name}, FetchID: f.id})
}
