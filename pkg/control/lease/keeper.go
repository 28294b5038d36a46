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
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Keeper holds one lease; control owns it.
type Keeper struct {
	rand    *rand.Rand
	backoff backof.Backoff
	id      int64
	// until is when the lease may have lapsed, counted from before the call that renewed it.
	until   time.Time
	renewAt time.Time
	ttl     time.Duration
	sentAt  time.Time
	pending kvreq.Request
	// stored is the member value that the store holds under this lease.
	stored member.Member
}

// New returns a keeper without a lease.
func New(rnd *rand.Rand) *Keeper { return &Keeper{rand: rnd} }

// Valid reports whether the lease is surely still held.
func (k *Keeper) Valid(now time.Time) bool {
	return k.id != 0 && now.Before(k.until.Add(-tune.LeaseMargin))
}

// ID returns the lease, or 0 without one.
func (k *Keeper) ID() int64 { return k.id }

// Next returns the next order once the last has ended; revision is that of the member key.
func (k *Keeper) Next(now time.Time, id uint64, me member.Member, revision int64, ttl time.Duration) (kvreq.Request, bool) {
	if k.pending.ID != 0 || !k.backoff.Ready(now) {
		return kvreq.Request{}, false
	}
	k.ttl = ttl
	switch {
	case k.id == 0 || !now.Before(k.renewAt):
		k.pending = kvreq.Request{ID: id, Op: kvop.Lease, LeaseID: k.id, TTL: k.ttl}
		k.sentAt = now
	case k.stored != me:
		v := value.Value{Member: &me}
		k.pending = kvreq.Request{ID: id, Op: kvop.CompareAndSwap, Key: keys.Member(me.Name), Value: v, ExpectedRevision: revision, LeaseID: k.id}
	default:
		return kvreq.Request{}, false
	}
	return k.pending, true
}

// Awaits reports whether a reply is for the order under way.
func (k *Keeper) Awaits(id uint64) bool { return k.pending.ID != 0 && k.pending.ID == id }

// HandleResponse takes in the outcome of the order, and reports whether a lease was lost.
func (k *Keeper) HandleResponse(now time.Time, r kvresp.Response) (lost bool) {
	o := k.pending
	k.pending = kvreq.Request{}
	if r.OutcomeUnknown {
		k.backoff.Fail(now, k.rand)
		return false
	}
	k.backoff.Succeed()
	switch {
	case o.Op == kvop.Lease && r.Applied:
		k.id = r.LeaseID
		k.until = k.sentAt.Add(k.ttl)
		k.renewAt = k.sentAt.Add(k.ttl / leaseParts)
	case o.Op == kvop.Lease:
		lost = k.id != 0
		k.id, k.stored = 0, member.Member{}
	case r.Applied:
		k.stored = *o.Value.Member
	default:
		k.backoff.Fail(now, k.rand)
	}
	return lost
}

// leaseParts is the number of renewals in the life of a lease.
const leaseParts = 3
