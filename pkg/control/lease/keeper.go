package lease

import (
	"math/rand/v2"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/backof"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/order"
	"github.com/balsamvale/balsamvale/pkg/stored/reply"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
	"github.com/balsamvale/balsamvale/pkg/stored/verb"
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
	current order.Order
	// written is the member value that the store holds under this lease.
	written member.Member
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
func (k *Keeper) Next(now time.Time, id uint64, me member.Member, revision int64, ttl time.Duration) (order.Order, bool) {
	if k.current.ID != 0 || !k.backoff.Ready(now) {
		return order.Order{}, false
	}
	k.ttl = ttl
	switch {
	case k.id == 0 || !now.Before(k.renewAt):
		k.current = order.Order{ID: id, Verb: verb.Lease, Lease: k.id, TTL: k.ttl}
		k.sentAt = now
	case k.written != me:
		v := value.Value{Member: &me}
		k.current = order.Order{ID: id, Verb: verb.Swap, Key: keys.Member(me.Name), Value: v, Expect: revision, Lease: k.id}
	default:
		return order.Order{}, false
	}
	return k.current, true
}

// Owns reports whether a reply is for the order under way.
func (k *Keeper) Owns(id uint64) bool { return k.current.ID != 0 && k.current.ID == id }

// Reply takes in the outcome of the order, and reports whether a lease was lost.
func (k *Keeper) Reply(now time.Time, r reply.Reply) (lost bool) {
	o := k.current
	k.current = order.Order{}
	if r.Failed {
		k.backoff.Fail(now, k.rand)
		return false
	}
	k.backoff.Succeed()
	switch {
	case o.Verb == verb.Lease && r.Done:
		k.id = r.Lease
		k.until = k.sentAt.Add(k.ttl)
		k.renewAt = k.sentAt.Add(k.ttl / leaseParts)
	case o.Verb == verb.Lease:
		lost = k.id != 0
		k.id, k.written = 0, member.Member{}
	case r.Done:
		k.written = *o.Value.Member
	default:
		k.backoff.Fail(now, k.rand)
	}
	return lost
}

// leaseParts is the number of renewals in the life of a lease.
const leaseParts = 3
