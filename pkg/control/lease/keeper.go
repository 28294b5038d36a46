package lease

import (
	"math/rand/v2"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/backof"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Keeper issues the requests that obtain and renew one lease and write the member key under it, one at a time.
//
// It is not safe for concurrent use.
type Keeper struct {
	rand    *rand.Rand
	backoff backof.Backoff
	// id is the ID of the lease, or 0 without one, and era the era of the store that granted it.
	id  int64
	era int64
	// lowestEra is the era of the store that is known; leases of earlier ones are gone.
	lowestEra int64
	// expiresAt is the earliest time at which the lease can expire: its lifetime, counted from sentAt of the
	// request that granted or renewed it.
	expiresAt time.Time
	renewAt   time.Time
	ttl       time.Duration
	// sentAt is when the last lease request was issued.
	sentAt time.Time
	// pending is the request that awaits its response; its ID is 0 when there is none.
	pending kvreq.Request
	// stored is the member value that the store holds under this lease.
	stored member.Member
}

// New returns a keeper without a lease.
func New(rnd *rand.Rand) *Keeper { return &Keeper{rand: rnd} }

// Valid reports whether the lease is certain to be held for at least another tune.LeaseMargin.
func (k *Keeper) Valid(now time.Time) bool {
	return k.id != 0 && now.Before(k.expiresAt.Add(-tune.LeaseMargin))
}

// ID returns the ID of the lease, or 0 without one.
func (k *Keeper) ID() int64 { return k.id }

// Era returns the era of the store that granted the lease.
func (k *Keeper) Era() int64 { return k.era }

// Restored gives up a lease that was granted before an era of the store, in which it does not exist, and reports whether there was
// one. The shards that the entry owned by it may be taken by others at once.
func (k *Keeper) Restored(era int64) (lost bool) {
	k.lowestEra = era
	if k.id == 0 || k.era >= era {
		return false
	}
	k.id, k.stored = 0, member.Member{}
	return true
}

// Next returns the next request, and whether one is due. None is due while another is pending or a backoff runs.
//
// The request gets the given ID. A lease request asks for a lifetime of ttl; otherwise me is written to the
// member key, whose known revision is revision, or 0 if the key is absent.
func (k *Keeper) Next(now time.Time, id uint64, me member.Member, revision revno.Revision, ttl time.Duration) (kvreq.Request, bool) {
	if k.pending.ID != 0 || !k.backoff.Ready(now) {
		return kvreq.Request{}, false
	}
	k.ttl = ttl
	switch {
	case k.id == 0 || !now.Before(k.renewAt):
		k.pending = kvreq.Request{ID: id, Op: kvop.Lease, LeaseID: k.id, LeaseEra: k.era, TTL: k.ttl}
		k.sentAt = now
	case k.stored != me:
		v := value.Value{Member: &me}
		k.pending = kvreq.Request{ID: id, Op: kvop.CompareAndSwap, Key: keys.Member(me.Name), Value: v, ExpectedRevision: revision, LeaseID: k.id, LeaseEra: k.era}
	default:
		return kvreq.Request{}, false
	}
	return k.pending, true
}

// Awaits reports whether the pending request has the given ID.
func (k *Keeper) Awaits(id uint64) bool { return k.pending.ID != 0 && k.pending.ID == id }

// HandleResponse processes the response to the pending request, and reports whether a lease was lost.
func (k *Keeper) HandleResponse(now time.Time, resp kvresp.Response) (lost bool) {
	req := k.pending
	k.pending = kvreq.Request{}
	if resp.OutcomeUnknown {
		k.backoff.Fail(now, k.rand)
		return false
	}
	k.backoff.Succeed()
	switch {
	case req.Op == kvop.Lease && resp.Applied && resp.LeaseEra < k.lowestEra:
		// The response is late.
	case req.Op == kvop.Lease && resp.Applied:
		k.id, k.era = resp.LeaseID, resp.LeaseEra
		k.expiresAt = k.sentAt.Add(k.ttl)
		k.renewAt = k.sentAt.Add(k.ttl / renewalsPerTTL)
	case req.Op == kvop.Lease:
		lost = k.id != 0
		k.id, k.stored = 0, member.Member{}
	case resp.Applied && (req.LeaseID != k.id || req.LeaseEra != k.era):
		// The lease was lost meanwhile.
	case resp.Applied:
		k.stored = *req.Value.Member
	default:
		k.backoff.Fail(now, k.rand)
	}
	return lost
}

// renewalsPerTTL is the number of renewals within the lifetime of a lease.
const renewalsPerTTL = 3
