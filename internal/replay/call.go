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
	"github.com/balsamvale/balsamvale/pkg/calls/fate"
	"github.com/balsamvale/balsamvale/pkg/calls/grant"
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
	id     uint64
	caller string
	once   bool
	keyed  bool
	bulk   bool
	deadly bool
	at     time.Time
	runs   int
	// fates are the outcomes of its sendings.
	fates  []fate.Outcome
	took   time.Duration
	ended  bool
	resent int
	// left is set once the caller went away, and returned once it came back after a refusal.
	left     bool
	returned bool
	sendings []*sending
}

// sending is one arrival of a call at an entry.
type sending struct {
	call   *simCall
	entry  *entry
	spec   *call.Call
	flow   *flow.Flow
	visits []*visit
	ended  bool
	// turn tells an alarm whether it is still the last one that was set.
	turn int
}

// arrivals schedules the calls of all callers.
func (s *Sim) arrivals() {
	f, l := s.trace.GetFleet(), s.trace.GetLoad()
	capacity := float64(f.GetUpstreams()*f.GetSlots()) / f.GetRun().AsDuration().Seconds()
	mix := 1 + float64(l.GetBulk())/100*(bulkFactor-1)
	rate := capacity * float64(l.GetPercent()) / 100 / mix
	s.arrive(rate, 0)
}

// arrive schedules the next call of a Poisson stream.
func (s *Sim) arrive(rate float64, n uint64) {
	gap := time.Duration(s.rand.ExpFloat64() / (rate * s.rush) * float64(time.Second))
	s.agenda.after(gap, func() {
		if s.agenda.now.Sub(s.began) >= s.trace.GetLength().AsDuration() {
			return
		}
		c := s.draw(n + 1)
		s.calls = append(s.calls, c)
		if s.oracle {
			s.consult(c)
		} else {
			s.send(c, s.anyEntry())
			s.doubt(c)
			s.abandon(c)
		}
		s.arrive(rate, n+1)
	})
}

// draw makes up the next call.
func (s *Sim) draw(n uint64) *simCall {
	l := s.trace.GetLoad()
	c := &simCall{id: n, at: s.agenda.now}
	c.caller = fmt.Sprintf("caller-%d", s.rand.IntN(int(l.GetCallers())))
	if s.hits(l.GetGreedy()) {
		c.caller = "caller-0"
	}
	c.once = s.hits(l.GetOnce())
	c.keyed = c.once && s.hits(l.GetKeyed())
	c.bulk = !c.once && s.hits(l.GetBulk())
	return c
}

func (s *Sim) hits(percent uint32) bool { return s.rand.IntN(100) < int(percent) }

// doubt lets impatient callers send the same call again through another entry.
func (s *Sim) doubt(c *simCall) {
	if (c.keyed || !c.once) && s.hits(s.trace.GetLoad().GetTwice()) {
		s.agenda.after(time.Duration(s.rand.Int64N(int64(doubtTime))), func() { s.send(c, s.anyEntry()) })
	}
}

// abandon lets some callers leave at the goal, which ends all sendings of the call.
func (s *Sim) abandon(c *simCall) {
	if s.leaving == 0 || s.rand.Float64() >= s.leaving {
		return
	}
	s.agenda.after(s.trace.GetLoad().GetGoal().AsDuration(), func() {
		if c.ended {
			return
		}
		c.left = true
		for _, x := range c.sendings {
			if !x.ended {
				x.follow(x.flow.Cancel(s.agenda.now))
			}
		}
	})
}

// doubtTime is the longest patience of callers who send a call twice.
const doubtTime = 50 * time.Millisecond

// anyEntry picks a living entry, as the platform's balancer does.
func (s *Sim) anyEntry() *entry {
	for range 1000 {
		if e := s.entries[s.rand.IntN(len(s.entries))]; !e.dead {
			return e
		}
	}
	return s.entries[0]
}

// send brings a call to an entry.
func (s *Sim) send(c *simCall, e *entry) {
	e.live(func() {
		if e.service == nil {
			c.end(s, flow.OutcomeBeforeClaim(c.keyed), s.agenda.now)
			return
		}
		x := &sending{call: c, entry: e}
		c.sendings = append(c.sendings, x)
		x.spec = e.spec(c)
		x.flow = flow.New(x.spec, e.pool, e.poison)
		x.flow.Wake = func(ch choice.Choice) { e.later(0, func() { x.woken(ch) }) }
		x.follow(x.flow.Start(e.now()))
	})
}

func (e *entry) spec(c *simCall) *call.Call {
	e.next++
	now := e.now()
	out := &call.Call{
		ID: e.next, Service: serviceName, Caller: c.caller, Idempotent: !c.once, Buffered: true,
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

// follow carries out a step of the flow.
func (x *sending) follow(s step.Step) {
	if x.ended {
		return
	}
	switch s.Stage {
	case stage.Claim:
		x.claim()
	case stage.Probe:
		x.ask(s)
	case stage.Send:
		x.attempt(s)
		x.alarm(s.TimerAt)
	case stage.Wait:
		x.entry.watchQueue()
		x.alarm(s.TimerAt)
	case stage.Deliver:
		x.deliver(s)
	case stage.Replay:
		x.finish(fate.Answered)
	case stage.Refuse:
		x.refuse(s)
	}
}

// ask asks upstreams for their load, and goes on with the first that is free, or when all have answered or time is up.
func (x *sending) ask(s step.Step) {
	e, left, done := x.entry, len(s.ProbeTargets), false
	x.turn++
	next := func(free bool) {
		if !done && !x.ended {
			done = true
			x.follow(x.flow.Probed(e.now(), free))
		}
	}
	for _, t := range s.ProbeTargets {
		u := e.sim.byName[t.Name]
		u.probes = append(u.probes, e.now())
		e.later(2*e.sim.delay(e, u), func() {
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
	e.later(s.TimerAt.Sub(e.now()), func() { next(false) })
}

func (x *sending) alarm(at time.Time) {
	x.turn++
	if at.IsZero() {
		return
	}
	turn := x.turn
	x.entry.later(max(0, at.Sub(x.entry.now())), func() {
		if turn == x.turn && !x.ended {
			x.follow(x.flow.TimerFired(x.entry.now()))
		}
	})
}

func (x *sending) woken(ch choice.Choice) {
	if x.ended {
		x.flow.ReleaseLate(x.entry.now(), ch)
		return
	}
	x.follow(x.flow.Woken(x.entry.now(), ch))
}

// claim claims the key through the entry's bucket.
func (x *sending) claim() {
	e, k := x.entry, x.entry.keeper(x.spec.Key)
	answered := false
	take := func(g grant.Result) {
		if !answered {
			answered = true
			x.follow(x.flow.Claimed(e.now(), g))
		}
	}
	k.bucket.Claim(x.spec.Key, x.spec.ID, x.spec.Deadline.Add(tune.ClaimTTL), func(g grant.Result, _ answer.Answer) {
		e.later(0, func() { take(g) })
	})
	k.kick()
	e.later(tune.ClaimTimeout, func() {
		if answered {
			return
		}
		g := grant.Unavailable
		if k.bucket.Abandon(e.now(), x.spec.Key, x.spec.ID) {
			g = grant.Unknown
		}
		take(g)
		k.kick()
	})
}

// attempt sends the call to an upstream and schedules what comes back.
func (x *sending) attempt(s step.Step) {
	e, u := x.entry, x.entry.sim.byName[s.Choice.Target.Name]
	e.sim.figures.attempts++
	e.sim.watch(u)
	e.sim.log("%s send call %d attempt %d to %s (%v)", e.name, x.call.id, s.Attempt, u.name, s.Reason)
	v := &visit{call: x.call, attempt: s.Attempt, sent: e.now(), entry: e}
	x.visits = append(x.visits, v)
	d := e.sim.delay(e, u)
	v.done = func(r result.Result) {
		v.done = func(result.Result) {}
		e.later(d, func() { x.headed(v, r) })
	}
	if e.silent[u.index] && x.spec.Idempotent {
		return
	}
	e.sim.agenda.after(d, func() {
		if !v.gone {
			u.arrive(v)
		}
	})
	x.limit(v, s)
}

// limit gives an attempt up at the time that its credit lapses.
func (x *sending) limit(v *visit, s step.Step) {
	if s.Choice.CreditUntil.IsZero() {
		return
	}
	x.entry.later(s.Choice.CreditUntil.Sub(x.entry.now()), func() {
		if !v.gone {
			x.cancel(v)
			v.done(result.Result{Cause: cause.Timeout})
		}
	})
}

// headed hands the outcome of an attempt to the flow.
func (x *sending) headed(v *visit, r result.Result) {
	if x.ended || v.gone {
		return
	}
	v.gone = true
	r.Latency = x.entry.now().Sub(v.sent)
	if x.entry.sim.figures.crossed(x.entry.sim, r.Cause) {
		r = result.Result{Cause: cause.AttemptMismatch, Latency: r.Latency}
	}
	x.follow(x.flow.AttemptResult(x.entry.now(), v.attempt, r))
}

// cancel gives an attempt up at the upstream, and its connection with it.
func (x *sending) cancel(v *visit) {
	v.gone = true
	e := x.entry
	for _, u := range e.sim.upstreams {
		if x.flow != nil && u.name == x.target(v) {
			delete(e.silent, u.index)
			e.sim.agenda.after(e.sim.delay(e, u), func() { u.cancel(v) })
		}
	}
}

func (x *sending) target(v *visit) string { return x.flow.Target(v.attempt) }

func (x *sending) deliver(s step.Step) {
	x.drop(s.Attempt)
	x.flow.Close(x.entry.now(), s.Attempt)
	if x.spec.Key != 0 {
		x.settle(state.Answered, answer.Answer{Status: 200})
	}
	x.finish(fate.Answered)
}

func (x *sending) refuse(s step.Step) {
	x.drop(-1)
	if x.spec.Key != 0 && s.Reason != reason.ClaimFailed && s.Reason != reason.Duplicate && s.Reason != reason.Poisoned {
		st := state.Unknown
		if s.Outcome == fate.NotRun {
			st = state.NotRun
		}
		x.settle(st, answer.Answer{})
	}
	x.entry.sim.log("%s refuse call %d: %v, %v", x.entry.name, x.call.id, s.Reason, s.Outcome)
	x.finish(s.Outcome)
	x.back(s)
}

// back lets the caller of a refused call send it once more through another entry, at the time it was told or at once.
func (x *sending) back(st step.Step) {
	s, l := x.entry.sim, x.entry.sim.trace.GetLoad()
	if l.GetBack() == 0 || st.Outcome != fate.NotRun || x.call.returned || x.call.left || !s.hits(l.GetBack()) {
		return
	}
	x.call.returned = true
	after := max(tune.MinRetryAfter, st.Choice.PredictedWait)
	if s.hits(l.GetRash()) {
		after = 0
	}
	s.agenda.after(after, func() { s.send(x.call, s.anyEntry()) })
}

func (x *sending) settle(st state.State, a answer.Answer) {
	k := x.entry.keeper(x.spec.Key)
	k.bucket.Complete(x.entry.now(), x.spec.Key, x.spec.ID, st, a)
	k.kick()
}

// drop gives up the attempts that did not win.
func (x *sending) drop(but int) {
	for _, v := range x.visits {
		if !v.gone && v.attempt != but {
			x.cancel(v)
		}
	}
	x.flow.CloseOthers(x.entry.now(), but)
}

func (x *sending) finish(f fate.Outcome) {
	x.ended = true
	x.entry.sim.log("%s end call %d: %v", x.entry.name, x.call.id, f)
	x.call.end(x.entry.sim, f, x.entry.now())
}

// end notes the outcome of a sending; callers send a deadly call again.
func (c *simCall) end(s *Sim, f fate.Outcome, now time.Time) {
	c.fates = append(c.fates, f)
	if f == fate.Answered && !c.ended {
		c.ended = true
		c.took = now.Sub(c.at)
	}
	if c.deadly && c.resent < resendMost {
		c.resent++
		s.agenda.after(resendTime, func() { s.send(c, s.anyEntry()) })
	}
}

const (
	// resendMost is how often the caller of a deadly call sends it again.
	resendMost = 30
	resendTime = 100 * time.Millisecond
)

// consult serves a call as a balancer would that knew every queue.
func (s *Sim) consult(c *simCall) {
	best, least := -1, math.Inf(1)
	for i, u := range s.upstreams {
		ahead := float64(max(0, u.running+len(u.queue)+1-u.slots())) * u.factor * u.noise
		if w := ahead + u.factor*u.noise + float64(u.running)/oracleTie; w < least && !u.down && !u.leaving && u.outAt.IsZero() {
			best, least = i, w
		}
	}
	if best < 0 {
		return
	}
	u := s.upstreams[best]
	v := &visit{call: c, sent: s.agenda.now}
	v.done = func(r result.Result) {
		if r.Cause == cause.None {
			s.agenda.after(nearDelay, func() { c.end(s, fate.Answered, s.agenda.now) })
		}
	}
	s.agenda.after(nearDelay, func() { u.arrive(v) })
}

// oracleTie lets the oracle prefer idle upstreams among those with a free slot.
const oracleTie = 1000
