package replay

import (
	"time"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
)

// wake does what the bucket plans, with one store call at a time.
func (k *claimWorker) wake() {
	if k.busy {
		return
	}
	k.timerGen++
	now := k.entry.now()
	if k.failures >= tune.MaxClaimAttempts {
		k.bucket.FailPending()
		k.failures = 0
	}
	v, value, expect, ok := k.bucket.Plan(now)
	if !ok {
		if next, later := k.bucket.NextPlanAt(now); later {
			k.wakeAfter(next.Sub(now))
		}
		return
	}
	k.busy = true
	if v == kvop.Get {
		k.entry.sim.store.do(kvreq.Request{Op: kvop.Get, Key: k.key}, k.entry.storeUnreachable, func(r kvresp.Response) {
			k.entry.runIfLive(func() { k.handleGet(r) })
		})
		return
	}
	data, err := codec.EncodeClaims(value)
	if err != nil {
		return
	}
	k.entry.sim.store.swapClaims(item.Item{Key: k.key, Value: data}, expect, k.entry.storeUnreachable(), func(r kvresp.Response) {
		k.entry.runIfLive(func() { k.handleSwap(r) })
	})
}

// wakeAfter comes back after a time, unless something else kicks the keeper first.
func (k *claimWorker) wakeAfter(d time.Duration) {
	k.timerGen++
	turn := k.timerGen
	k.entry.schedule(max(d, time.Millisecond), func() {
		if turn == k.timerGen {
			k.wake()
		}
	})
}

func (k *claimWorker) handleGet(r kvresp.Response) {
	k.busy = false
	if r.OutcomeUnknown {
		k.retry()
		return
	}
	cs, err := codec.DecodeClaims(r.Items[0].Value)
	if err != nil || !k.bucket.GetDone(r.Revision, cs) {
		k.retry()
		return
	}
	k.failures = 0
	k.wake()
}

func (k *claimWorker) handleSwap(r kvresp.Response) {
	k.busy = false
	if r.OutcomeUnknown || !r.Applied {
		k.bucket.Invalidate()
		k.retry()
		return
	}
	k.failures = 0
	k.bucket.SwapDone(r.Revision)
	k.wake()
}

// retry tries once more after a growing pause.
func (k *claimWorker) retry() {
	k.failures++
	most := min(tune.MinBackoff<<k.failures, tune.MaxBackoff) / 4
	k.wakeAfter(time.Duration(k.entry.sim.rand.Int64N(int64(most))))
}

// swapClaims carries out the swap of a bucket of claims.
func (st *storage) swapClaims(it item.Item, expect int64, cut bool, done func(kvresp.Response)) {
	fail := func() { done(kvresp.Response{OutcomeUnknown: true}) }
	if st.down || cut {
		st.sim.events.after(tune.StoreTimeout, fail)
		return
	}
	st.sim.events.after(storeDelay/2, func() {
		st.writes++
		r := st.swap(it, expect, 0)
		if st.loseReplies && st.sim.rand.Float64() < lostPart {
			st.sim.events.after(tune.StoreTimeout, fail)
			return
		}
		st.sim.events.after(storeDelay/2, func() { done(r) })
	})
}
