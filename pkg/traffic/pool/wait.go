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
	// decision is the choice to pass on once the lock is free.
	decision choice.Choice
}

// enqueue puts a call in the queue, or refuses it when it would wait in vain.
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
	p.wakePump()
	p.queue.Push(c.Class, c.Caller, c.Deadline, &waiter{call: c, tried: tried, wake: wake})
	ch.Stage, ch.Reason = stage.Wait, reason.AtCapacity
	return ch
}

// makeRoom refuses the newest call of the caller that has most waiting, if that is not c's.
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
		p.woken = append(p.woken, w)
		return true
	}
	return false
}

// CancelWait takes a waiting call out of the queue, and reports whether it was still there.
func (p *Pool) CancelWait(c *call.Call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.queue.Remove(func(_ time.Time, w *waiter) bool { return w.call == c })
	return p.limiter.Remove(c) || len(out) > 0
}

// DispatchWaiting lets waiting calls look for an upstream anew, and reports how many still wait.
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

// dispatchQueue moves the queue up and notes the calls to wake.
func (p *Pool) dispatchQueue(now time.Time) {
	if p.queue.Len() == 0 {
		return
	}
	late := p.queue.Remove(func(deadline time.Time, _ *waiter) bool {
		return !deadline.IsZero() && deadline.Sub(now) < tune.MinRemainingTime
	})
	for _, w := range late {
		w.decision = refusal(now, reason.Deadline)
	}
	p.woken = append(p.woken, late...)
	p.advance(now, class.Interactive)
	p.advance(now, class.Bulk)
}

// advance serves one class until its next call has to wait.
func (p *Pool) advance(now time.Time, cl class.Class) {
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
		p.woken = append(p.woken, w)
	}
}
