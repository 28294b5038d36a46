package duty

import (
	"math/rand/v2"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/backof"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/order"
	"github.com/balsamvale/balsamvale/pkg/stored/reply"
)

// Duties follows the shards that one entry holds; control owns it.
type Duties struct {
	rand    *rand.Rand
	backoff backof.Backoff
	// since is when the entry learned that it holds a shard.
	since [tune.Shards]time.Time
	// free is when a shard was first seen without a holder.
	free    [tune.Shards]time.Time
	current uint64
}

// New returns duties without shards.
func New(rnd *rand.Rand) *Duties { return &Duties{rand: rnd} }

// See takes in who holds a shard, and reports whether the entry took or lost it.
func (d *Duties) See(now time.Time, s shard.Shard, held, mine bool) (taken, lost bool) {
	had := !d.since[s].IsZero()
	switch {
	case held && mine && !had:
		d.since[s] = now
		taken = true
	case !mine && had:
		d.since[s] = time.Time{}
		lost = true
	}
	if held {
		d.free[s] = time.Time{}
	} else if d.free[s].IsZero() {
		d.free[s] = now
	}
	return taken, lost
}

// Holds reports whether the entry has held the shard for at least wait.
func (d *Duties) Holds(now time.Time, s shard.Shard, wait time.Duration) bool {
	return !d.since[s].IsZero() && now.Sub(d.since[s]) >= wait
}

// Held lists the shards of the entry.
func (d *Duties) Held() []shard.Shard {
	var out []shard.Shard
	for s := range shard.Shard(tune.Shards) {
		if !d.since[s].IsZero() {
			out = append(out, s)
		}
	}
	return out
}

// Next returns a shard to take or to give up, by the members that are live.
func (d *Duties) Next(now time.Time, name string, live []string) (s shard.Shard, take, ok bool) {
	if d.current != 0 || !d.backoff.Ready(now) {
		return 0, false, false
	}
	for s := range shard.Shard(tune.Shards) {
		rank := s.Rank(live, name)
		if !d.since[s].IsZero() {
			if rank > 0 || len(live) == 0 {
				return s, false, true
			}
			continue
		}
		if len(live) > 0 && !d.free[s].IsZero() && now.Sub(d.free[s]) >= time.Duration(rank)*takeDelay {
			return s, true, true
		}
	}
	return 0, false, false
}

// takeDelay is how long each further entry in a shard's order waits for those before it.
const takeDelay = 2 * time.Second

// Sent marks an order as under way.
func (d *Duties) Sent(o order.Order) { d.current = o.ID }

// Owns reports whether a reply is for the order under way.
func (d *Duties) Owns(id uint64) bool { return d.current != 0 && d.current == id }

// Reply takes in the outcome of the order; who holds the shard is learned from the catalog.
func (d *Duties) Reply(now time.Time, r reply.Reply) {
	d.current = 0
	if r.Failed || !r.Done {
		d.backoff.Fail(now, d.rand)
		return
	}
	d.backoff.Succeed()
}
