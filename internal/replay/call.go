package replay

import (
	"fmt"
	"math"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/flow"
)

// simCall is what a caller wants done, over all its sendings.
type simCall struct {
	id            uint64
	caller        string
	nonIdempotent bool
	keyed         bool
	bulk          bool
	poison        bool
	at            time.Time
	runs          int
	// outcomes are the outcomes of its sendings.
	outcomes []outcom.Outcome
	took     time.Duration
	answered bool
	resends  int
	// abandoned is set once the caller went away, and returned once it came back after a refusal.
	abandoned bool
	retried   bool
	requests  []*simRequest
}

// simRequest is one arrival of a call at an entry.
type simRequest struct {
	call     *simCall
	entry    *entry
	spec     *call.Call
	flow     *flow.Flow
	attempts []*simAttempt
	ended    bool
	// timerGen tells an alarm whether it is still the last one that was set.
	timerGen int
}

// scheduleArrivals schedules the calls of all callers.
func (s *Sim) scheduleArrivals() {
	f, l := s.trace.GetFleet(), s.trace.GetLoad()
	capacity := float64(f.GetUpstreams()*f.GetSlots()) / f.GetRun().AsDuration().Seconds()
	mix := 1 + float64(l.GetBulk())/100*(bulkFactor-1)
	rate := capacity * float64(l.GetPercent()) / 100 / mix
	s.scheduleNextCall(rate, 0)
}

// scheduleNextCall schedules the next call of a Poisson stream.
func (s *Sim) scheduleNextCall(rate float64, n uint64) {
	gap := time.Duration(s.rand.ExpFloat64() / (rate * s.rateFactor) * float64(time.Second))
	s.events.after(gap, func() {
		if s.events.now.Sub(s.callsStart) >= s.trace.GetLength().AsDuration() {
			return
		}
		c := s.newCall(n + 1)
		s.calls = append(s.calls, c)
		if s.oracle {
			s.serveOracle(c)
		} else {
			s.send(c, s.pickLiveEntry())
			s.scheduleDuplicate(c)
			s.scheduleAbandonment(c)
		}
		s.scheduleNextCall(rate, n+1)
	})
}

// newCall makes up the next call.
func (s *Sim) newCall(n uint64) *simCall {
	l := s.trace.GetLoad()
	c := &simCall{id: n, at: s.events.now}
	c.caller = fmt.Sprintf("caller-%d", s.rand.IntN(int(l.GetCallers())))
	if s.chance(l.GetGreedy()) {
		c.caller = "caller-0"
	}
	c.nonIdempotent = s.chance(l.GetOnce())
	c.keyed = c.nonIdempotent && s.chance(l.GetKeyed())
	c.bulk = !c.nonIdempotent && s.chance(l.GetBulk())
	return c
}

func (s *Sim) chance(percent uint32) bool { return s.rand.IntN(100) < int(percent) }

// scheduleDuplicate lets impatient callers send the same call again through another entry.
func (s *Sim) scheduleDuplicate(c *simCall) {
	if (c.keyed || !c.nonIdempotent) && s.chance(s.trace.GetLoad().GetTwice()) {
		s.events.after(time.Duration(s.rand.Int64N(int64(maxDuplicateDelay))), func() { s.send(c, s.pickLiveEntry()) })
	}
}

// scheduleAbandonment lets some callers leave at the goal, which ends all sendings of the call.
func (s *Sim) scheduleAbandonment(c *simCall) {
	if s.abandonFraction == 0 || s.rand.Float64() >= s.abandonFraction {
		return
	}
	s.events.after(s.trace.GetLoad().GetGoal().AsDuration(), func() {
		if c.answered {
			return
		}
		c.abandoned = true
		for _, x := range c.requests {
			if !x.ended {
				x.handleStep(x.flow.Cancel(s.events.now))
			}
		}
	})
}

// maxDuplicateDelay is the longest patience of callers who send a call twice.
const maxDuplicateDelay = 50 * time.Millisecond

// pickLiveEntry picks a living entry, as the platform's balancer does.
func (s *Sim) pickLiveEntry() *entry {
	for range 1000 {
		if e := s.entries[s.rand.IntN(len(s.entries))]; !e.killed {
			return e
		}
	}
	return s.entries[0]
}

// send brings a call to an entry.
func (s *Sim) send(c *simCall, e *entry) {
	e.runIfLive(func() {
		if e.service == nil {
			c.recordOutcome(s, flow.OutcomeBeforeClaim(c.keyed), s.events.now)
			return
		}
		x := &simRequest{call: c, entry: e}
		c.requests = append(c.requests, x)
		x.spec = e.spec(c)
		x.flow = flow.New(x.spec, e.pool, e.poison)
		x.flow.Wake = func(ch choice.Choice) { e.schedule(0, func() { x.handleWake(ch) }) }
		x.handleStep(x.flow.Start(e.now()))
	})
}

func (e *entry) spec(c *simCall) *call.Call {
	e.next++
	now := e.now()
	out := &call.Call{
		ID: e.next, Service: serviceName, Caller: c.caller, Idempotent: !c.nonIdempotent, Buffered: true,
		Fingerprint: c.id, Arrived: now, Deadline: now.Add(e.service.Timeout),
	}
	if e.sim.trace.GetPlan().GetUpstreams() > 0 {
		out.Route = fmt.Sprintf("/r%d", c.id%routes)
	}
	if c.bulk {
		out.Class, out.Deadline = class.Bulk, time.Time{}
	}
	if c.keyed {
		out.Key = c.id
	}
	if goal := e.sim.trace.GetLoad().GetGoal().AsDuration(); goal > 0 {
		out.SoftDeadline, out.Deadline = now.Add(goal), c.at.Add(e.service.Timeout)
	}
	return out
}

// handleStep carries out a step of the flow.
func (x *simRequest) handleStep(s step.Step) {
	if x.ended {
		return
	}
	switch s.Stage {
	case stage.Claim:
		x.claimKey()
	case stage.Probe:
		x.probeCandidates(s)
	case stage.Send:
		x.sendAttempt(s)
		x.setTimer(s.TimerAt)
	case stage.Wait:
		x.entry.pollQueue()
		x.setTimer(s.TimerAt)
	case stage.Deliver:
		x.deliver(s)
	case stage.Replay:
		x.finish(outcom.Answered)
	case stage.Refuse:
		x.refuse(s)
	}
}

// probeCandidates asks upstreams for their load, and goes on with the first that is free, or when all have answered or time is up.
func (x *simRequest) probeCandidates(s step.Step) {
	e, left, done := x.entry, len(s.ProbeTargets), false
	x.timerGen++
	next := func(free bool) {
		if !done && !x.ended {
			done = true
			x.handleStep(x.flow.Probed(e.now(), free))
		}
	}
	for _, t := range s.ProbeTargets {
		u := e.sim.byName[t.Name]
		u.probes = append(u.probes, e.now())
		e.schedule(2*e.sim.delay(e, u), func() {
			r := &result.Result{Status: 200, Report: u.report()}
			if u.down {
				r = &result.Result{Cause: cause.DialFailed}
			}
			left--
			if free := e.pool.RecordProbe(e.now(), t.Name, r); free || left == 0 {
				next(free)
			}
		})
	}
	e.schedule(s.TimerAt.Sub(e.now()), func() { next(false) })
}

func (x *simRequest) setTimer(at time.Time) {
	x.timerGen++
	if at.IsZero() {
		return
	}
	turn := x.timerGen
	x.entry.schedule(max(0, at.Sub(x.entry.now())), func() {
		if turn == x.timerGen && !x.ended {
			x.handleStep(x.flow.TimerFired(x.entry.now()))
		}
	})
}

func (x *simRequest) handleWake(ch choice.Choice) {
	if x.ended {
		x.flow.ReleaseLate(x.entry.now(), ch)
		return
	}
	x.handleStep(x.flow.Woken(x.entry.now(), ch))
}

// claimKey claims the key through the entry's bucket.
func (x *simRequest) claimKey() {
	e, k := x.entry, x.entry.claimWorker(x.spec.Key)
	answered := false
	take := func(g dedup.Result) {
		if !answered {
			answered = true
			x.handleStep(x.flow.Claimed(e.now(), g))
		}
	}
	k.bucket.Claim(x.spec.Key, x.spec.ID, x.spec.Deadline.Add(tune.ClaimTTL), func(g dedup.Result, _ answer.Answer) {
		e.schedule(0, func() { take(g) })
	})
	k.wake()
	e.schedule(tune.ClaimTimeout, func() {
		if answered {
			return
		}
		g := dedup.Unavailable
		if k.bucket.Abandon(e.now(), x.spec.Key, x.spec.ID) {
			g = dedup.Unknown
		}
		take(g)
		k.wake()
	})
}

// sendAttempt sends the call to an upstream and schedules what comes back.
func (x *simRequest) sendAttempt(s step.Step) {
	e, u := x.entry, x.entry.sim.byName[s.Choice.Target.Name]
	e.sim.counters.attempts++
	e.sim.countDuringFault(u)
	e.sim.log("%s send call %d attempt %d to %s (%v)", e.name, x.call.id, s.Attempt, u.name, s.Reason)
	v := &simAttempt{call: x.call, id: s.Attempt, sent: e.now(), entry: e}
	x.attempts = append(x.attempts, v)
	d := e.sim.delay(e, u)
	v.done = func(r result.Result) {
		v.done = func(result.Result) {}
		e.schedule(d, func() { x.handleResult(v, r) })
	}
	if e.blackholed[u.index] && x.spec.Idempotent {
		return
	}
	e.sim.events.after(d, func() {
		if !v.closed {
			u.accept(v)
		}
	})
	x.setCreditTimer(v, s)
}

// setCreditTimer gives an attempt up at the time that its credit lapses.
func (x *simRequest) setCreditTimer(v *simAttempt, s step.Step) {
	if s.Choice.CreditUntil.IsZero() {
		return
	}
	x.entry.schedule(s.Choice.CreditUntil.Sub(x.entry.now()), func() {
		if !v.closed {
			x.cancel(v)
			v.done(result.Result{Cause: cause.Timeout})
		}
	})
}

// handleResult hands the outcome of an attempt to the flow.
func (x *simRequest) handleResult(v *simAttempt, r result.Result) {
	if x.ended || v.closed {
		return
	}
	v.closed = true
	r.Latency = x.entry.now().Sub(v.sent)
	if x.entry.sim.counters.injectMismatch(x.entry.sim, r.Cause) {
		r = result.Result{Cause: cause.AttemptMismatch, Latency: r.Latency}
	}
	x.handleStep(x.flow.AttemptResult(x.entry.now(), v.id, r))
}

// cancel gives an attempt up at the upstream, and its connection with it.
func (x *simRequest) cancel(v *simAttempt) {
	v.closed = true
	e := x.entry
	for _, u := range e.sim.upstreams {
		if x.flow != nil && u.name == x.upstreamName(v) {
			delete(e.blackholed, u.index)
			e.sim.events.after(e.sim.delay(e, u), func() { u.cancel(v) })
		}
	}
}

func (x *simRequest) upstreamName(v *simAttempt) string { return x.flow.Target(v.id) }

func (x *simRequest) deliver(s step.Step) {
	x.cancelOthers(s.Attempt)
	x.flow.Close(x.entry.now(), s.Attempt)
	if x.spec.Key != 0 {
		x.completeClaim(state.Answered, answer.Answer{Status: 200})
	}
	x.finish(outcom.Answered)
}

func (x *simRequest) refuse(s step.Step) {
	x.cancelOthers(-1)
	if x.spec.Key != 0 && s.Reason != reason.ClaimFailed && s.Reason != reason.Duplicate && s.Reason != reason.Poisoned {
		st := state.Unknown
		if s.Outcome == outcom.NotRun {
			st = state.NotRun
		}
		x.completeClaim(st, answer.Answer{})
	}
	x.entry.sim.log("%s refuse call %d: %v, %v", x.entry.name, x.call.id, s.Reason, s.Outcome)
	x.finish(s.Outcome)
	x.scheduleCallerRetry(s)
}

// scheduleCallerRetry lets the caller of a refused call send it once more through another entry, at the time it was told or at once.
func (x *simRequest) scheduleCallerRetry(st step.Step) {
	s, l := x.entry.sim, x.entry.sim.trace.GetLoad()
	if l.GetBack() == 0 || st.Outcome != outcom.NotRun || x.call.retried || x.call.abandoned || !s.chance(l.GetBack()) {
		return
	}
	x.call.retried = true
	after := max(tune.MinRetryAfter, st.Choice.PredictedWait)
	if s.chance(l.GetRash()) {
		after = 0
	}
	s.events.after(after, func() { s.send(x.call, s.pickLiveEntry()) })
}

func (x *simRequest) completeClaim(st state.State, a answer.Answer) {
	k := x.entry.claimWorker(x.spec.Key)
	k.bucket.Complete(x.entry.now(), x.spec.Key, x.spec.ID, st, a)
	k.wake()
}

// cancelOthers gives up the attempts that did not win.
func (x *simRequest) cancelOthers(but int) {
	for _, v := range x.attempts {
		if !v.closed && v.id != but {
			x.cancel(v)
		}
	}
	x.flow.CloseOthers(x.entry.now(), but)
}

func (x *simRequest) finish(f outcom.Outcome) {
	x.ended = true
	x.entry.sim.log("%s end call %d: %v", x.entry.name, x.call.id, f)
	x.call.recordOutcome(x.entry.sim, f, x.entry.now())
}

// recordOutcome notes the outcome of a sending; callers send a deadly call again.
func (c *simCall) recordOutcome(s *Sim, f outcom.Outcome, now time.Time) {
	c.outcomes = append(c.outcomes, f)
	if f == outcom.Answered && !c.answered {
		c.answered = true
		c.took = now.Sub(c.at)
	}
	if c.poison && c.resends < maxPoisonResends {
		c.resends++
		s.events.after(resendTime, func() { s.send(c, s.pickLiveEntry()) })
	}
}

const (
	// maxPoisonResends is how often the caller of a deadly call sends it again.
	maxPoisonResends = 30
	resendTime       = 100 * time.Millisecond
)

// serveOracle serves a call as a balancer would that knew every queue.
func (s *Sim) serveOracle(c *simCall) {
	best, least := -1, math.Inf(1)
	for i, u := range s.upstreams {
		ahead := float64(max(0, u.running+len(u.queue)+1-u.slots())) * u.slowdown * u.noise
		if w := ahead + u.slowdown*u.noise + float64(u.running)/oracleTieBreak; w < least && !u.down && !u.draining && u.domainOutAt.IsZero() {
			best, least = i, w
		}
	}
	if best < 0 {
		return
	}
	u := s.upstreams[best]
	v := &simAttempt{call: c, sent: s.events.now}
	v.done = func(r result.Result) {
		if r.Cause == cause.None {
			s.events.after(intraDomainDelay, func() { c.recordOutcome(s, outcom.Answered, s.events.now) })
		}
	}
	s.events.after(intraDomainDelay, func() { u.accept(v) })
}

// oracleTieBreak lets the oracle prefer idle upstreams among those with a free slot.
const oracleTieBreak = 1000
