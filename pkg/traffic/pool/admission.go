package pool

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Admit admits a call (Ask), lets it wait for others to end, or refuses it.
//
// An admitted call is ended with Exit. While it waits, wake is called once with the later choice, unless Leave came first.
func (p *Pool) Admit(now time.Time, c *call.Call, wake func(choice.Choice)) choice.Choice {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	if p.config == nil {
		return refusal(now, reason.UnknownService)
	}
	if !p.usesAdmission() {
		return choice.Choice{Stage: stage.Probe, At: now}
	}
	ch := choice.Choice{At: now, AdmitLimit: p.limiter.Limit(), AdmitWaiting: p.limiter.Len()}
	ch.Stage, ch.PredictedWait = p.limiter.Acquire(now, c, p.typicalRunTime(), p.config.Service.Queue, &waiter{call: c, wake: wake})
	switch ch.Stage {
	case stage.Wait:
		ch.Reason = reason.AtCapacity
		p.wakePump()
	case stage.Refuse:
		ch.Reason = reason.AdmissionLimit
	}
	return ch
}

// AdmissionStats returns the calls that the service may have under way in this entry, and those that wait beyond it.
func (p *Pool) AdmissionStats() (limit, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Limit(), p.limiter.Len()
}

// ReleaseAdmission ends a call that was admitted, and admits the next.
func (p *Pool) ReleaseAdmission(now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	if !p.usesAdmission() {
		return
	}
	now = p.advanceTime(now)
	p.limiter.Release(now)
	p.admitNext(now)
}

// usesAdmission reports whether calls of the service ask before they are placed, and are bounded; baselines do neither.
func (p *Pool) usesAdmission() bool {
	return p.config != nil && p.config.Service.ProbesPerCall > 0 && p.policy == policy.LeastPredictedWait
}

// admitNext notes the calls to wake: those that are admitted, and those that cannot be served in time.
func (p *Pool) admitNext(now time.Time) {
	in, late := p.limiter.AdmitNext(now, p.typicalRunTime())
	for _, w := range in {
		w.decision = choice.Choice{Stage: stage.Probe, At: now}
	}
	for _, w := range late {
		w.decision = refusal(now, reason.Deadline)
		w.decision.AdmitLimit, w.decision.AdmitWaiting = p.limiter.Limit(), p.limiter.Len()
	}
	p.woken = append(append(p.woken, in...), late...)
}

// typicalRunTime is the time that a call is expected to take at an upstream of usual pace.
func (p *Pool) typicalRunTime() time.Duration { return p.avgRunTime }

// adaptLimit lets the gate learn from what an answer says of its upstream.
func (p *Pool) adaptLimit(s *upstreamState, r *result.Result) {
	switch {
	case r.Report != nil:
		p.limiter.Adapt(float64(r.Report.InFlight) > tune.KneeUtilization*float64(s.slots(p)))
	case r.Cause == cause.Shed && !r.WrongInstance:
		p.limiter.Adapt(true)
	case r.Cause == cause.None:
		p.limiter.Adapt(false)
	}
}

// wakePump lets the calls that wait be looked at again and again.
func (p *Pool) wakePump() {
	p.hasWaiting.Store(true)
	if p.OnWaiting != nil {
		p.OnWaiting()
	}
}
