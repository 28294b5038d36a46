package pool

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// waiter is a call in the queue.
type waiter struct {
	call  *call.Call
	tried []string
	wake  func(choice.Choice)
	// decision is the choice that unlock passes to wake.
	decision choice.Choice
}

// enqueue puts a call in the queue, or refuses it if it cannot wait, would miss its deadline or finds the queue full.
func (p *Pool) enqueue(now time.Time, c *call.Call, tried []string, wake func(choice.Choice), ch choice.Choice) choice.Choice {
	ch.Stage = stage.Refuse
	ahead := p.queue.Ahead(c.Class, c.Caller)
	ch.PredictedWait = time.Duration(ahead+1)*p.avgReleaseGap + p.avgRunTime
	if wake == nil {
		ch.Reason = reason.AtCapacity
		return ch
	}
	if ch.PredictedWait > c.TimeLeft(now, ch.PredictedWait) {
		ch.Reason = reason.Deadline
		return ch
	}
	if p.queue.Len() >= p.config.Service.Queue && !p.makeRoom(c) {
		ch.Reason = reason.AtCapacity
		return ch
	}
	p.notifyWaiting()
	p.queue.Push(c.Class, c.Caller, c.Deadline, &waiter{call: c, tried: tried, wake: wake})
	ch.Stage, ch.Reason = stage.Wait, reason.AtCapacity
	return ch
}

// makeRoom refuses a waiting call to make room for c and reports whether it did.
//
// It refuses the newest call of the caller with the most waiting calls in a class, bulk first, but no call of a higher
// class than c. A call of the same class is refused only if its caller is not that of c and has more than one call waiting.
func (p *Pool) makeRoom(c *call.Call) bool {
	for _, cl := range []class.Class{class.Bulk, class.Interactive} {
		caller, n := p.queue.Longest(cl)
		if n == 0 || cl < c.Class {
			continue
		}
		if cl == c.Class && (caller == c.Caller || n <= 1) {
			continue
		}
		w, ok := p.queue.PopLast(cl, caller)
		if !ok {
			continue
		}
		w.decision = refusal(p.now, reason.AtCapacity)
		p.toWake = append(p.toWake, w)
		return true
	}
	return false
}

// CancelWait removes a call that waits for admission or for an upstream, and reports whether it was still waiting.
func (p *Pool) CancelWait(c *call.Call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	removed := p.queue.Remove(func(_ time.Time, w *waiter) bool { return w.call == c })
	return p.limiter.Remove(c) || len(removed) > 0
}

// Close refuses the calls that wait, and all that come later, since the service has left the configuration.
//
// Nothing dispatches the calls of a pool that no configuration has.
func (p *Pool) Close(now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	p.closed = true
	waiters := append(p.queue.Remove(func(time.Time, *waiter) bool { return true }), p.limiter.Clear()...)
	for _, w := range waiters {
		w.decision = refusal(now, reason.NoUpstream)
	}
	p.toWake = append(p.toWake, waiters...)
}

// refuseAll returns the refusal of each call before the first configuration of the service and after the last.
func (p *Pool) refuseAll(now time.Time) (ch choice.Choice, refused bool) {
	switch {
	case p.config == nil:
		return refusal(now, reason.UnknownService), true
	case p.closed:
		return refusal(now, reason.NoUpstream), true
	}
	return choice.Choice{}, false
}

// DispatchWaiting dispatches and admits the waiting calls for which there is room by now, and returns how many still wait.
func (p *Pool) DispatchWaiting(now time.Time) int {
	if !p.hasWaiting.Load() {
		return 0
	}
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	p.dispatchQueue(now)
	p.admitNext(now)
	left := p.queue.Len() + p.limiter.Len()
	p.hasWaiting.Store(left > 0)
	return left
}

// dispatchQueue refuses calls in the queue whose deadline is too near and dispatches the next calls of each class; unlock
// wakes both.
func (p *Pool) dispatchQueue(now time.Time) {
	if p.queue.Len() == 0 {
		return
	}
	expired := p.queue.Remove(func(deadline time.Time, _ *waiter) bool {
		return !deadline.IsZero() && deadline.Sub(now) < tune.MinRemainingTime
	})
	for _, w := range expired {
		w.decision = refusal(now, reason.Deadline)
	}
	p.toWake = append(p.toWake, expired...)
	p.dispatchClass(now, class.Interactive)
	p.dispatchClass(now, class.Bulk)
}

// dispatchClass dispatches the waiting calls of one class in order, up to the first that has to wait on.
func (p *Pool) dispatchClass(now time.Time, cl class.Class) {
	for {
		w, ok := p.queue.Peek(cl)
		if !ok {
			return
		}
		w.decision = p.choose(now, w.call, w.tried)
		if w.decision.Stage == stage.Wait {
			return
		}
		p.queue.Pop(cl)
		p.toWake = append(p.toWake, w)
	}
}
