package replay

import (
	"time"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// runPlan carries out the next store request that the bucket plans, one at a time.
//
// After tune.MaxClaimAttempts failures in a row, all pending claims fail.
func (w *claimWorker) runPlan() {
	if w.requestInFlight {
		return
	}
	w.timerGen++
	now := w.entry.now()
	if w.failures >= tune.MaxClaimAttempts {
		w.bucket.FailPending()
		w.failures = 0
	}
	op, value, expected, ok := w.bucket.Plan(now)
	if !ok {
		if next, later := w.bucket.NextPlanAt(now); later {
			w.runPlanAfter(next.Sub(now))
		}
		return
	}
	w.requestInFlight = true
	if op == kvop.Get {
		w.entry.sim.storage.submit(kvreq.Request{Op: kvop.Get, Key: w.key}, w.entry.storeUnreachable, func(r kvresp.Response) {
			w.entry.runIfLive(func() { w.handleGet(r) })
		})
		return
	}
	data, err := codec.EncodeClaims(value)
	if err != nil {
		w.requestInFlight = false
		w.retry()
		return
	}
	w.entry.sim.storage.compareAndSwapClaims(item.Item{Key: w.key, Value: data}, expected, w.entry.storeUnreachable(), func(r kvresp.Response) {
		w.entry.runIfLive(func() { w.handleSwap(r) })
	})
}

// runPlanAfter calls runPlan after d, at least 1 ms, unless something else calls it first.
func (w *claimWorker) runPlanAfter(d time.Duration) {
	w.timerGen++
	gen := w.timerGen
	w.entry.schedule(max(d, time.Millisecond), func() {
		if gen == w.timerGen {
			w.runPlan()
		}
	})
}

// handleGet passes the claims read from the store to the bucket.
func (w *claimWorker) handleGet(r kvresp.Response) {
	w.requestInFlight = false
	if r.OutcomeUnknown {
		w.retry()
		return
	}
	claims, err := codec.DecodeClaims(r.Items[0].Value)
	if err != nil || !w.bucket.GetDone(w.entry.now(), r.Revision, claims) {
		w.retry()
		return
	}
	w.failures = 0
	w.runPlan()
}

// handleSwap tells the bucket whether its write was applied.
func (w *claimWorker) handleSwap(r kvresp.Response) {
	w.requestInFlight = false
	if r.OutcomeUnknown || !r.Applied {
		w.bucket.Invalidate()
		w.retry()
		return
	}
	w.failures = 0
	w.bucket.SwapDone(r.Revision)
	w.runPlan()
}

// retry calls runPlan again after a random pause, whose upper bound grows with each failure.
func (w *claimWorker) retry() {
	w.failures++
	maxPause := min(tune.MinBackoff<<w.failures, tune.MaxBackoff) / 4
	w.runPlanAfter(time.Duration(w.entry.sim.rand.Int64N(int64(maxPause))))
}

// compareAndSwapClaims writes a bucket of claims, which is already encoded.
//
// An unreachable store or a lost response leads to an unknown outcome after tune.StoreTimeout.
func (st *storage) compareAndSwapClaims(it item.Item, expected revno.Revision, unreachable bool, done func(kvresp.Response)) {
	fail := func() { done(kvresp.Response{OutcomeUnknown: true}) }
	if st.down || unreachable {
		st.sim.events.after(tune.StoreTimeout, fail)
		return
	}
	st.sim.events.after(storeDelay/2, func() {
		st.writes++
		r := st.compareAndSwap(it, expected, 0)
		if st.loseReplies && st.sim.rand.Float64() < lostReplyFraction {
			st.sim.events.after(tune.StoreTimeout, fail)
			return
		}
		st.sim.events.after(storeDelay/2, func() { done(r) })
	})
}
