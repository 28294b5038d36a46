package replay

import (
	"time"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/order"
	"github.com/balsamvale/balsamvale/pkg/stored/reply"
	"github.com/balsamvale/balsamvale/pkg/stored/verb"
)

// kick does what the bucket plans, with one store call at a time.
func (k *keeper) kick() {
	if k.busy {
		return
	}
	k.turn++
	now := k.entry.now()
	if k.tries >= tune.MaxClaimAttempts {
		k.bucket.FailPending()
		k.tries = 0
	}
	v, value, expect, ok := k.bucket.Plan(now)
	if !ok {
		if next, later := k.bucket.NextPlanAt(now); later {
			k.wait(next.Sub(now))
		}
		return
	}
	k.busy = true
	if v == verb.Get {
		k.entry.sim.store.do(order.Request{Op: verb.Get, Key: k.key}, k.entry.cut, func(r reply.Response) {
			k.entry.live(func() { k.got(r) })
		})
		return
	}
	data, err := codec.EncodeClaims(value)
	if err != nil {
		return
	}
	k.entry.sim.store.swapClaims(item.Item{Key: k.key, Value: data}, expect, k.entry.cut(), func(r reply.Response) {
		k.entry.live(func() { k.swapped(r) })
	})
}

// wait comes back after a time, unless something else kicks the keeper first.
func (k *keeper) wait(d time.Duration) {
	k.turn++
	turn := k.turn
	k.entry.later(max(d, time.Millisecond), func() {
		if turn == k.turn {
			k.kick()
		}
	})
}

func (k *keeper) got(r reply.Response) {
	k.busy = false
	if r.OutcomeUnknown {
		k.again()
		return
	}
	cs, err := codec.DecodeClaims(r.Items[0].Value)
	if err != nil || !k.bucket.GetDone(r.Revision, cs) {
		k.again()
		return
	}
	k.tries = 0
	k.kick()
}

func (k *keeper) swapped(r reply.Response) {
	k.busy = false
	if r.OutcomeUnknown || !r.Applied {
		k.bucket.Invalidate()
		k.again()
		return
	}
	k.tries = 0
	k.bucket.SwapDone(r.Revision)
	k.kick()
}

// again tries once more after a growing pause.
func (k *keeper) again() {
	k.tries++
	most := min(tune.MinBackoff<<k.tries, tune.MaxBackoff) / 4
	k.wait(time.Duration(k.entry.sim.rand.Int64N(int64(most))))
}

// swapClaims carries out the swap of a bucket of claims.
func (st *storage) swapClaims(it item.Item, expect int64, cut bool, done func(reply.Response)) {
	fail := func() { done(reply.Response{OutcomeUnknown: true}) }
	if st.down || cut {
		st.sim.agenda.after(tune.StoreTimeout, fail)
		return
	}
	st.sim.agenda.after(storeDelay/2, func() {
		st.writes++
		r := st.swap(it, expect, 0)
		if st.lost && st.sim.rand.Float64() < lostPart {
			st.sim.agenda.after(tune.StoreTimeout, fail)
			return
		}
		st.sim.agenda.after(storeDelay/2, func() { done(r) })
	})
}
