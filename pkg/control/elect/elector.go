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

// Elector tracks which shards one entry owns, and decides which to take or release next.
//
// It is not safe for concurrent use.
type Elector struct {
	rand    *rand.Rand
	backoff backof.Backoff
	// ownedSince is when the entry learned that it owns a shard; zero for shards that it does not own.
	ownedSince [tune.ShardCount]time.Time
	// freeSince is when a shard was first seen without an owner; zero for shards that have one.
	freeSince [tune.ShardCount]time.Time
	// pendingID is the ID of the request that awaits its response, or 0 when there is none.
	pendingID uint64
}

// New returns an elector that owns no shards.
func New(rnd *rand.Rand) *Elector { return &Elector{rand: rnd} }

// Observe records whether a shard is owned by any entry, and whether by this one. It reports whether this entry has
// taken or lost the shard since the last call.
func (e *Elector) Observe(now time.Time, s shard.Shard, owned, mine bool) (taken, lost bool) {
	wasMine := !e.ownedSince[s].IsZero()
	switch {
	case owned && mine && !wasMine:
		e.ownedSince[s] = now
		taken = true
	case !mine && wasMine:
		e.ownedSince[s] = time.Time{}
		lost = true
	}
	if owned {
		e.freeSince[s] = time.Time{}
	} else if e.freeSince[s].IsZero() {
		e.freeSince[s] = now
	}
	return taken, lost
}

// OwnedFor reports whether the entry has owned the shard for at least minAge.
func (e *Elector) OwnedFor(now time.Time, s shard.Shard, minAge time.Duration) bool {
	return !e.ownedSince[s].IsZero() && now.Sub(e.ownedSince[s]) >= minAge
}

// Owned returns the shards that the entry owns, in ascending order.
func (e *Elector) Owned() []shard.Shard {
	var out []shard.Shard
	for s := range shard.Shard(tune.ShardCount) {
		if !e.ownedSince[s].IsZero() {
			out = append(out, s)
		}
	}
	return out
}

// Next returns a shard to take or release, and whether there is one. There is none while a request is pending or a
// backoff runs.
//
// An owned shard is released once an active member ranks before the entry called name, or no member is active. A shard
// without an owner is taken after a delay that grows with the rank of the entry.
func (e *Elector) Next(now time.Time, name string, active []string) (s shard.Shard, take, ok bool) {
	if e.pendingID != 0 || !e.backoff.Ready(now) {
		return 0, false, false
	}
	for s := range shard.Shard(tune.ShardCount) {
		rank := s.Rank(active, name)
		if !e.ownedSince[s].IsZero() {
			if rank > 0 || len(active) == 0 {
				return s, false, true
			}
			continue
		}
		if len(active) > 0 && !e.freeSince[s].IsZero() && now.Sub(e.freeSince[s]) >= time.Duration(rank)*takeDelay {
			return s, true, true
		}
	}
	return 0, false, false
}

// takeDelay is how much longer an entry waits to take a free shard than the entry ranked just before it.
const takeDelay = 2 * time.Second

// SetPending records that a request has been issued and awaits its response.
func (e *Elector) SetPending(req kvreq.Request) { e.pendingID = req.ID }

// Awaits reports whether the pending request has the given ID.
func (e *Elector) Awaits(id uint64) bool { return e.pendingID != 0 && e.pendingID == id }

// HandleResponse processes the response to the pending request. The new owner is learned from the replica, by Observe.
func (e *Elector) HandleResponse(now time.Time, resp kvresp.Response) {
	e.pendingID = 0
	if resp.OutcomeUnknown || !resp.Applied {
		e.backoff.Fail(now, e.rand)
		return
	}
	e.backoff.Succeed()
}
