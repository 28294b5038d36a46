package replay

import (
	"fmt"
	"math"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/bind"
	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
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

// simCall is one call of a caller. The caller may send it more than once.
type simCall struct {
	id            uint64
	caller        string
	nonIdempotent bool
	keyed         bool
	bulk          bool
	poison        bool
	createdAt     time.Time
	// runs counts how often an upstream began to run the call.
	runs int
	// outcomes holds one outcome for each request that has ended, in the order in which they ended.
	outcomes []outcom.Outcome
	// latency is the time from createdAt to the first answer.
	latency  time.Duration
	answered bool
	// unheard is set once an attempt was lost because its upstream had no room.
	unheard bool
	// resends counts how often the caller has sent a poison call again.
	resends int
	// abandoned is set once the caller has given up waiting.
	abandoned bool
	// retriedAfterRefusal is set once the caller retries after a refusal.
	retriedAfterRefusal bool
	requests            []*simRequest
}

// simRequest is one sending of a call to an entry.
type simRequest struct {
	call     *simCall
	entry    *entry
	spec     *call.Call
	flow     *flow.Flow
	attempts []*simAttempt
	ended    bool
	// timerGen is the number of the newest timer; a timer with an older number is ignored when it fires.
	timerGen int
}

// scheduleArrivals starts the stream of calls.
//
// At its rate, the calls use the percentage of all upstream slots that the trace sets. The rate allows for the longer run time
// of bulk calls.
func (s *Sim) scheduleArrivals() {
	fleet, load := s.trace.GetFleet(), s.trace.GetLoad()
	capacity := float64(fleet.GetUpstreams()*fleet.GetSlots()) / fleet.GetRun().AsDuration().Seconds()
	mix := 1 + float64(load.GetBulk())/100*(bulkRunFactor-1)
	rate := capacity * float64(load.GetPercent()) / 100 / mix
	s.scheduleNextCall(rate, 0)
}

// scheduleNextCall schedules the next arrival of a Poisson process with the given rate in calls per second, times
// s.rateFactor.
//
// n is the number of calls so far. Each arrival schedules its successor until the length of the trace has passed.
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

// newCall draws the properties of call n from the load settings of the trace.
func (s *Sim) newCall(n uint64) *simCall {
	load := s.trace.GetLoad()
	c := &simCall{id: n, createdAt: s.events.now}
	c.caller = fmt.Sprintf("caller-%d", s.rand.IntN(int(load.GetCallers())))
	if s.chance(load.GetGreedy()) {
		c.caller = "caller-0"
	}
	c.nonIdempotent = s.chance(load.GetOnce())
	c.keyed = c.nonIdempotent && s.chance(load.GetKeyed())
	c.bulk = !c.nonIdempotent && s.chance(load.GetBulk())
	return c
}

// chance returns true with the given probability in percent.
func (s *Sim) chance(percent uint32) bool { return s.rand.IntN(100) < int(percent) }

// scheduleDuplicate lets some impatient callers send the same call a second time, to a random entry.
//
// Calls that are not idempotent and carry no idempotency key are never sent twice.
func (s *Sim) scheduleDuplicate(c *simCall) {
	if (c.keyed || !c.nonIdempotent) && s.chance(s.trace.GetLoad().GetTwice()) {
		s.events.after(time.Duration(s.rand.Int64N(int64(maxDuplicateDelay))), func() { s.send(c, s.pickLiveEntry()) })
	}
}

// scheduleAbandonment lets some callers give up at the target latency, which cancels all requests of the call.
func (s *Sim) scheduleAbandonment(c *simCall) {
	if s.abandonFraction == 0 || s.rand.Float64() >= s.abandonFraction {
		return
	}
	s.events.after(s.trace.GetLoad().GetGoal().AsDuration(), func() {
		if c.answered {
			return
		}
		c.abandoned = true
		for _, req := range c.requests {
			if !req.ended {
				req.handleStep(req.flow.Cancel(s.events.now))
			}
		}
	})
}

// maxDuplicateDelay bounds the time after which an impatient caller sends a call again.
const maxDuplicateDelay = 50 * time.Millisecond

// pickLiveEntry picks a random entry that has not been killed, as the platform's balancer does. It returns the first entry
// if 1000 draws find none.
func (s *Sim) pickLiveEntry() *entry {
	for range 1000 {
		if e := s.entries[s.rand.IntN(len(s.entries))]; !e.killed {
			return e
		}
	}
	return s.entries[0]
}

// send delivers a call to an entry. An entry without configuration refuses it.
func (s *Sim) send(c *simCall, e *entry) {
	e.runIfLive(func() {
		if e.service == nil {
			c.recordOutcome(s, flow.OutcomeBeforeClaim(c.keyed), s.events.now)
			return
		}
		req := &simRequest{call: c, entry: e}
		c.requests = append(c.requests, req)
		req.spec = e.spec(c)
		req.flow = flow.New(req.spec, e.pool, e.poison)
		req.flow.Wake = func(ch choice.Choice) { e.schedule(0, func() { req.handleWake(ch) }) }
		req.handleStep(req.flow.Start(e.now()))
	})
}

// spec returns the description of a call that the entry gives to its flow.
//
// With a target latency, the deadline counts from the creation of the call instead of from its arrival at the entry.
func (e *entry) spec(c *simCall) *call.Call {
	e.lastCallID++
	now := e.now()
	spec := &call.Call{
		ID: e.lastCallID, Service: serviceName, Caller: c.caller, Idempotent: !c.nonIdempotent, Buffered: true,
		Fingerprint: c.id, Arrived: now, Deadline: now.Add(e.service.Timeout),
	}
	if e.sim.trace.GetPlan().GetUpstreams() > 0 {
		spec.Route = fmt.Sprintf("/r%d", c.id%routeCount)
	}
	if c.bulk {
		spec.Class, spec.Deadline = class.Bulk, time.Time{}
	}
	if c.keyed {
		spec.Key = c.id
	}
	if targetLatency := e.sim.trace.GetLoad().GetGoal().AsDuration(); targetLatency > 0 {
		spec.SoftDeadline, spec.Deadline = now.Add(targetLatency), c.createdAt.Add(e.service.Timeout)
	}
	return spec
}

// handleStep carries out the next step that the flow requests.
func (req *simRequest) handleStep(s step.Step) {
	if req.ended {
		return
	}
	switch s.Stage {
	case stage.Claim:
		req.claimKey()
	case stage.Probe:
		req.probeCandidates(s)
	case stage.Send:
		req.sendAttempt(s)
		req.setTimer(s.TimerAt)
	case stage.Wait:
		req.entry.pollQueue()
		req.setTimer(s.TimerAt)
	case stage.Deliver:
		req.deliver(s)
	case stage.Replay:
		req.finish(outcom.Answered)
	case stage.Refuse:
		req.refuse(s)
	}
}

// probeCandidates probes the upstreams that the flow names for their load.
//
// The flow continues as soon as one is free, or else once all have answered or s.TimerAt has come.
func (req *simRequest) probeCandidates(s step.Step) {
	e, pending, done := req.entry, len(s.ProbeTargets), false
	req.timerGen++
	finishProbing := func(free bool) {
		if !done && !req.ended {
			done = true
			req.handleStep(req.flow.Probed(e.now(), free))
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
			pending--
			if free := e.pool.RecordProbe(e.now(), t.Name, r); free || pending == 0 {
				finishProbing(free)
			}
		})
	}
	e.schedule(s.TimerAt.Sub(e.now()), func() { finishProbing(false) })
}

// setTimer replaces the request's timer; a zero time only stops the previous one.
func (req *simRequest) setTimer(at time.Time) {
	req.timerGen++
	if at.IsZero() {
		return
	}
	gen := req.timerGen
	req.entry.schedule(max(0, at.Sub(req.entry.now())), func() {
		if gen == req.timerGen && !req.ended {
			req.handleStep(req.flow.TimerFired(req.entry.now()))
		}
	})
}

// handleWake passes a routing decision of the pool to the waiting flow, or releases it if the request has already ended.
func (req *simRequest) handleWake(ch choice.Choice) {
	if req.ended {
		req.flow.ReleaseLate(req.entry.now(), ch)
		return
	}
	req.handleStep(req.flow.Woken(req.entry.now(), ch))
}

// claimKey claims the request's idempotency key through the entry's worker for it.
//
// A claim that is not decided within tune.ClaimTimeout is abandoned. It is then reported as unknown when another call was
// seen to hold the key, and as unavailable otherwise.
func (req *simRequest) claimKey() {
	e, w := req.entry, req.entry.claimWorker(req.spec.Key)
	answered := false
	report := func(res dedup.Result) {
		if !answered {
			answered = true
			req.handleStep(req.flow.Claimed(e.now(), res))
		}
	}
	c := req.claim()
	w.bucket.Claim(c, func(res dedup.Result, _ claim.Claim) {
		e.schedule(0, func() { report(res) })
	})
	w.runPlan()
	e.schedule(tune.ClaimTimeout, func() {
		if answered {
			return
		}
		res := dedup.Unavailable
		if w.bucket.Abandon(e.now(), c) {
			res = dedup.Unknown
		}
		report(res)
		w.runPlan()
	})
}

// sendAttempt sends the call to the chosen upstream after the network delay, and delivers the result to the flow.
//
// An idempotent call on a connection that has gone silent gets no result.
func (req *simRequest) sendAttempt(s step.Step) {
	e, u := req.entry, req.entry.sim.byName[s.Choice.Target.Name]
	e.sim.counters.attempts++
	if e.domain != u.domain {
		e.sim.counters.remoteAttempts++
	}
	e.sim.countDuringFault(u)
	e.sim.log("%s send call %d attempt %d to %s (%v)", e.name, req.call.id, s.Attempt, u.name, s.Reason)
	a := &simAttempt{call: req.call, id: s.Attempt, sentAt: e.now(), entry: e}
	req.attempts = append(req.attempts, a)
	delay := e.sim.delay(e, u)
	a.respond = func(r result.Result) {
		a.respond = func(result.Result) {}
		e.schedule(delay, func() { req.handleResult(a, r) })
	}
	if e.blackholed[u.index] && req.spec.Idempotent {
		return
	}
	e.sim.events.after(delay, func() {
		if !a.closed {
			u.accept(a)
		}
	})
	req.setCreditTimer(a, s)
}

// setCreditTimer cancels an attempt to a cold upstream when the credit behind it lapses.
func (req *simRequest) setCreditTimer(a *simAttempt, s step.Step) {
	if s.Choice.CreditUntil.IsZero() {
		return
	}
	req.entry.schedule(s.Choice.CreditUntil.Sub(req.entry.now()), func() {
		if !a.closed {
			req.cancelAtUpstream(a)
			a.respond(result.Result{Cause: cause.Timeout})
		}
	})
}

// handleResult passes the result of an open attempt to the flow. While the mismatch fault lasts, it alters some of the results.
func (req *simRequest) handleResult(a *simAttempt, r result.Result) {
	if req.ended || a.closed {
		return
	}
	a.closed = true
	r.Latency = req.entry.now().Sub(a.sentAt)
	if req.entry.sim.counters.injectMismatch(req.entry.sim, r.Cause) {
		r = result.Result{Cause: cause.AttemptMismatch, Latency: r.Latency}
	}
	req.handleStep(req.flow.AttemptResult(req.entry.now(), a.id, r))
}

// cancel closes an attempt and cancels it at the upstream.
func (req *simRequest) cancel(a *simAttempt) {
	a.closed = true
	req.cancelAtUpstream(a)
}

// cancelAtUpstream cancels an attempt at the upstream. This closes its connection too, so that later attempts do not use a
// connection that has gone silent.
func (req *simRequest) cancelAtUpstream(a *simAttempt) {
	e := req.entry
	for _, u := range e.sim.upstreams {
		if req.flow != nil && u.name == req.upstreamName(a) {
			delete(e.blackholed, u.index)
			e.sim.events.after(e.sim.delay(e, u), func() { u.cancel(a) })
		}
	}
}

// upstreamName returns the name of the upstream that an attempt was sent to.
func (req *simRequest) upstreamName(a *simAttempt) string { return req.flow.Target(a.id) }

// deliver ends the request with the answer of the winning attempt and cancels the other attempts.
func (req *simRequest) deliver(s step.Step) {
	req.cancelOthers(s.Attempt)
	req.flow.Close(req.entry.now(), s.Attempt)
	if req.spec.Key != 0 {
		req.completeClaim(state.Answered, answer.Answer{Status: 200})
	}
	req.finish(outcom.Answered)
}

// refuse ends the request without an answer, and completes its claim if it may hold one.
func (req *simRequest) refuse(s step.Step) {
	req.cancelOthers(-1)
	if req.spec.Key != 0 && s.Reason != reason.ClaimFailed && s.Reason != reason.Duplicate && s.Reason != reason.Poisoned {
		st := state.Unknown
		if s.Outcome == outcom.NotRun {
			st = state.NotRun
		}
		req.completeClaim(st, answer.Answer{})
	}
	req.entry.sim.log("%s refuse call %d: %v, %v", req.entry.name, req.call.id, s.Reason, s.Outcome)
	req.finish(s.Outcome)
	req.scheduleCallerRetry(s)
}

// scheduleCallerRetry lets some callers retry a refused call once, through a random entry.
//
// They wait for the time that the refusal asks for, except for a part of them that retries at once.
func (req *simRequest) scheduleCallerRetry(refusal step.Step) {
	s, load := req.entry.sim, req.entry.sim.trace.GetLoad()
	if load.GetBack() == 0 || refusal.Outcome != outcom.NotRun || req.call.retriedAfterRefusal || req.call.abandoned || !s.chance(load.GetBack()) {
		return
	}
	req.call.retriedAfterRefusal = true
	delay := refusal.Choice.RetryDelay()
	if s.chance(load.GetRash()) {
		delay = 0
	}
	s.events.after(delay, func() { s.send(req.call, s.pickLiveEntry()) })
}

// claim returns the claim of the request's idempotency key. A simulated caller uses a key for one call only.
func (req *simRequest) claim() claim.Claim {
	return claim.Claim{
		Key: req.spec.Key, Binding: bind.Binding{Account: 1, Method: 1, URI: 1, Body: 1},
		Attempt: req.spec.ID, Until: req.spec.Deadline.Add(tune.ClaimTTL),
	}
}

// completeClaim records the end of the call under its idempotency key.
func (req *simRequest) completeClaim(st state.State, ans answer.Answer) {
	w := req.entry.claimWorker(req.spec.Key)
	c := req.claim()
	c.State, c.Answer = st, ans
	w.bucket.Complete(req.entry.now(), c)
	w.runPlan()
}

// cancelOthers cancels all open attempts except keep, which is -1 to cancel all.
func (req *simRequest) cancelOthers(keep int) {
	for _, a := range req.attempts {
		if !a.closed && a.id != keep {
			req.cancel(a)
		}
	}
	req.flow.CloseOthers(req.entry.now(), keep)
}

// finish ends the request with an outcome.
func (req *simRequest) finish(o outcom.Outcome) {
	req.ended = true
	req.entry.sim.log("%s end call %d: %v", req.entry.name, req.call.id, o)
	req.call.recordOutcome(req.entry.sim, o, req.entry.now())
}

// recordOutcome records the outcome of one request. The caller of a poison call then sends it again.
func (c *simCall) recordOutcome(s *Sim, o outcom.Outcome, now time.Time) {
	c.outcomes = append(c.outcomes, o)
	if o == outcom.Answered && !c.answered {
		c.answered = true
		c.latency = now.Sub(c.createdAt)
	}
	if c.poison && c.resends < maxPoisonResends {
		c.resends++
		s.events.after(poisonResendDelay, func() { s.send(c, s.pickLiveEntry()) })
	}
}

const (
	// maxPoisonResends is how often the caller of a poison call sends it again.
	maxPoisonResends = 30
	// poisonResendDelay is the time from the outcome of a poison call until its caller sends it again.
	poisonResendDelay = 100 * time.Millisecond
)

// serveOracle serves a call as an ideal load balancer would that knows the exact queue and speed of every upstream.
func (s *Sim) serveOracle(c *simCall) {
	bestIndex, leastWait := -1, math.Inf(1)
	for i, u := range s.upstreams {
		ahead := float64(max(0, u.running+len(u.queue)+1-u.slots())) * u.slowdown * u.noise
		if wait := ahead + u.slowdown*u.noise + float64(u.running)/oracleTieBreak; wait < leastWait && !u.down && !u.draining && u.domainDrainedAt.IsZero() {
			bestIndex, leastWait = i, wait
		}
	}
	if bestIndex < 0 {
		return
	}
	u := s.upstreams[bestIndex]
	a := &simAttempt{call: c, sentAt: s.events.now}
	a.respond = func(r result.Result) {
		if r.Cause == cause.None {
			s.events.after(intraDomainDelay, func() { c.recordOutcome(s, outcom.Answered, s.events.now) })
		}
	}
	s.events.after(intraDomainDelay, func() { u.accept(a) })
}

// oracleTieBreak divides the number of running calls when the oracle adds it to the predicted wait, so that the oracle prefers idle
// upstreams among those with a free slot.
const oracleTieBreak = 1000
