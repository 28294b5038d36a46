package elect

import (
	"math/rand/v2"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/backof"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
)

// Elector follows the shards that one entry holds; control owns it.
type Elector struct {
	rand    *rand.Rand
	backoff backof.Backoff
	// ownedSince is when the entry learned that it holds a shard.
	ownedSince [tune.ShardCount]time.Time
	// freeSince is when a shard was first seen without a holder.
	freeSince [tune.ShardCount]time.Time
	pending   uint64
}

// New returns duties without shards.
func New(rnd *rand.Rand) *Elector { return &Elector{rand: rnd} }

// Observe takes in who holds a shard, and reports whether the entry took or lost it.
func (d *Elector) Observe(now time.Time, s shard.Shard, held, mine bool) (taken, lost bool) {
	had := !d.ownedSince[s].IsZero()
	switch {
	case held && mine && !had:
		d.ownedSince[s] = now
		taken = true
	case !mine && had:
		d.ownedSince[s] = time.Time{}
		lost = true
	}
	if held {
		d.freeSince[s] = time.Time{}
	} else if d.freeSince[s].IsZero() {
		d.freeSince[s] = now
	}
	return taken, lost
}

// OwnedFor reports whether the entry has held the shard for at least wait.
func (d *Elector) OwnedFor(now time.Time, s shard.Shard, wait time.Duration) bool {
	return !d.ownedSince[s].IsZero() && now.Sub(d.ownedSince[s]) >= wait
}

// Owned lists the shards of the entry.
func (d *Elector) Owned() []shard.Shard {
	var out []shard.Shard
	for s := range shard.Shard(tune.ShardCount) {
		if !d.ownedSince[s].IsZero() {
			out = append(out, s)
		}
	}
	return out
}

// Next returns a shard to take or to give up, by the members that are live.
func (d *Elector) Next(now time.Time, name string, live []string) (s shard.Shard, take, ok bool) {
	if d.pending != 0 || !d.backoff.Ready(now) {
		return 0, false, false
	}
	for s := range shard.Shard(tune.ShardCount) {
		rank := s.Rank(live, name)
		if !d.ownedSince[s].IsZero() {
			if rank > 0 || len(live) == 0 {
				return s, false, true
			}
			continue
		}
		if len(live) > 0 && !d.freeSince[s].IsZero() && now.Sub(d.freeSince[s]) >= time.Duration(rank)*takeDelay {
			return s, true, true
		}
	}
	return 0, false, false
}

// takeDelay is how long each further entry in a shard's order waits for those before it.
const takeDelay = 2 * time.Second

// SetPending marks an order as under way.
func (d *Elector) SetPending(o kvreq.Request) { d.pending = o.ID }

// Awaits reports whether a reply is for the order under way.
func (d *Elector) Awaits(id uint64) bool { return d.pending != 0 && d.pending == id }

// HandleResponse takes in the outcome of the order; who holds the shard is learned from the catalog.
func (d *Elector) HandleResponse(now time.Time, r kvresp.Response) {
	d.pending = 0
	if r.OutcomeUnknown || !r.Applied {
		d.backoff.Fail(now, d.rand)
		return
	}
	d.backoff.Succeed()
}
