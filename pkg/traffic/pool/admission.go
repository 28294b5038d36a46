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

// Admit decides whether a call may go on to probing (stage.Probe), waits for a place (stage.Wait) or is refused
// (stage.Refuse).
//
// An admitted call keeps its place until ReleaseAdmission. For a waiting call, wake is called once with the later choice,
// unless CancelWait removes the call first.
func (p *Pool) Admit(now time.Time, c *call.Call, wake func(choice.Choice)) choice.Choice {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	if r, refused := p.refuseAll(now); refused {
		return r
	}
	if !p.usesAdmission() {
		return choice.Choice{Stage: stage.Probe, At: now}
	}
	ch := choice.Choice{At: now, AdmitLimit: p.limiter.Limit(), AdmitWaiting: p.limiter.Len()}
	ch.Stage, ch.PredictedWait = p.limiter.Acquire(now, c, p.typicalRunTime(), p.config.Service.Queue, &waiter{call: c, wake: wake})
	p.room.SetInFlight(p.limiter.InFlight())
	switch ch.Stage {
	case stage.Wait:
		ch.Reason = reason.AtCapacity
		p.notifyWaiting()
	case stage.Refuse:
		ch.Reason = reason.AdmissionLimit
	}
	return ch
}

// AdmissionStats returns the admission limit of the service in this entry and the number of calls that wait for admission.
func (p *Pool) AdmissionStats() (limit, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Limit(), p.limiter.Len()
}

// LimitedUpstreams returns the number of upstreams that name a limit on the calls that they take.
func (p *Pool) LimitedUpstreams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.upstreams {
		if s.turns.Limit() > 0 {
			n++
		}
	}
	return n
}

// ReleaseAdmission frees the place of an admitted call, which has ended or whose response is about to be delivered, and
// admits waiting calls.
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

// usesAdmission reports whether calls of the service probe upstreams before one is chosen and are bounded by the admission
// limit. Policies other than LeastPredictedWait, which serve for comparison, do neither.
func (p *Pool) usesAdmission() bool {
	return p.config != nil && p.config.Service.ProbesPerCall > 0 && p.policy == policy.LeastPredictedWait
}

// admitNext admits waiting calls up to the limit and refuses those that can no longer meet their deadline; unlock wakes both.
func (p *Pool) admitNext(now time.Time) {
	admitted, expired := p.limiter.AdmitNext(now, p.typicalRunTime())
	p.room.SetInFlight(p.limiter.InFlight())
	for _, w := range admitted {
		w.decision = choice.Choice{Stage: stage.Probe, At: now}
	}
	for _, w := range expired {
		w.decision = refusal(now, reason.Deadline)
		w.decision.AdmitLimit, w.decision.AdmitWaiting = p.limiter.Limit(), p.limiter.Len()
	}
	p.toWake = append(append(p.toWake, admitted...), expired...)
}

// typicalRunTime returns the expected run time of a call at an upstream that is not slowed down.
func (p *Pool) typicalRunTime() time.Duration { return p.avgRunTime }

// adaptLimit adapts the admission limit to the load that the result of an attempt shows at its upstream. A report above
// tune.KneeUtilization lowers the limit, and any other report raises it. Without a report, a shed call lowers it and an
// answer that is not a failure raises it.
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

// notifyWaiting records that a call waits and triggers OnWaiting, so that DispatchWaiting is called until none waits.
func (p *Pool) notifyWaiting() {
	p.hasWaiting.Store(true)
	if p.OnWaiting != nil {
		p.OnWaiting()
	}
}
