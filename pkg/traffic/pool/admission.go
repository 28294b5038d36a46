package pool

import (
	"math"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
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
	if w, ok := p.limiter.Displace(now, c, p.avgRunTime, p.config.Service.Queue); ok {
		p.refuseAdmission(now, w, reason.AdmissionLimit)
	}
	ch := choice.Choice{At: now, AdmitLimit: p.limiter.Limit(), AdmitWaiting: p.limiter.Len()}
	ch.Stage, ch.PredictedWait = p.limiter.Acquire(now, c, p.avgRunTime, p.config.Service.Queue, &waiter{call: c, wake: wake})
	p.room.SetInFlight(p.limiter.InFlight())
	switch ch.Stage {
	case stage.Wait:
		ch.Reason = reason.AtCapacity
		p.notifyWaiting()
	case stage.Refuse:
		ch.Reason = reason.AdmissionLimit
		p.limiter.DescribeRefusal(now, c, p.avgRunTime, p.rand.Float64, &ch)
	}
	p.publishPressure(now)
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
func (p *Pool) ReleaseAdmission(now time.Time, c *call.Call) {
	p.mu.Lock()
	defer p.unlock()
	if !p.usesAdmission() {
		return
	}
	now = p.advanceTime(now)
	p.limiter.Release(now, c)
	p.admitNext(now)
}

// usesAdmission reports whether calls of the service probe upstreams before one is chosen and are bounded by the admission
// limit. Policies other than LeastPredictedWait, which serve for comparison, do neither.
func (p *Pool) usesAdmission() bool {
	return p.config != nil && p.config.Service.ProbesPerCall > 0 && p.policy == policy.LeastPredictedWait
}

// admitNext admits waiting calls up to the limit and refuses those that can no longer meet their deadline; unlock wakes both.
func (p *Pool) admitNext(now time.Time) {
	admitted, expired := p.limiter.AdmitNext(now, p.avgRunTime)
	p.room.SetInFlight(p.limiter.InFlight())
	for _, w := range admitted {
		w.decision = choice.Choice{Stage: stage.Probe, At: now}
	}
	p.toWake = append(p.toWake, admitted...)
	for _, w := range expired {
		p.refuseAdmission(now, w, reason.Deadline)
	}
	p.publishPressure(now)
}

// publishPressure tells the other entries, every tune.PressureGap at most, that this one refuses calls or admits them too late while
// calls of a lower priority arrive. They leave places free, so that these do not take the slots that the former wait for.
func (p *Pool) publishPressure(now time.Time) {
	if now.Sub(p.pressureSentAt) < tune.PressureGap {
		return
	}
	if priority, ok := p.limiter.TakeLost(now); ok && priority >= 0 {
		p.pressureSentAt = now
		p.queueFact(fact.Fact{Topic: topic.Pressure, Subject: p.config.Service.Name, Value: uint64(priority), Until: now.Add(tune.PressureTTL)})
	}
}

// mergePressure applies the report of another entry that it loses calls.
func (p *Pool) mergePressure(now time.Time, f fact.Fact) {
	if p.config == nil || f.Origin == p.config.Entry || f.Value > math.MaxInt32 {
		return
	}
	p.limiter.Press(now, int(f.Value), f.Until)
}

// refuseAdmission refuses a call that has waited for admission; unlock wakes it.
func (p *Pool) refuseAdmission(now time.Time, w *waiter, why reason.Reason) {
	w.decision = refusal(now, why)
	p.limiter.DescribeRefusal(now, w.call, p.avgRunTime, p.rand.Float64, &w.decision)
	p.toWake = append(p.toWake, w)
}

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
