package replay

import (
	"slices"
	"time"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/report"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// upstream is a model of a back end: slots, a short queue, a warm-up, and faults.
type upstream struct {
	sim     *Sim
	index   int
	name    string
	domain  int
	version string

	incarnation uint64
	started     time.Time
	down        bool
	running     int
	active      []*simAttempt
	queue       []*simAttempt
	slowdown    float64
	noise       float64
	failing     bool
	// degraded is set once the upstream was made slow or failing, at badAt.
	degraded     bool
	degradedAt   time.Time
	draining     bool
	drainingAt   time.Time
	domainOutAt  time.Time
	underreports bool
	// coldKnownAt is when each side of a split first had an answer from the present start.
	coldKnownAt [2]time.Time
	probes      []time.Time
	// coldSince counts the calls in flight that were sent after the cold start could be known.
	coldInFlight int
}

// simAttempt is one attempt at an upstream.
type simAttempt struct {
	call        *simCall
	id          int
	sent        time.Time
	entry       *entry
	countedCold bool
	closed      bool
	// aborted is set when the attempt was cut off while it ran.
	aborted     bool
	incarnation uint64
	done        func(result.Result)
}

// coldNoticeGrace is the time in which entries tell each other of a cold start that nobody announced.
const coldNoticeGrace = 100 * time.Millisecond

func (u *upstream) cold() bool {
	return u.sim.events.now.Sub(u.started) < u.sim.trace.GetFleet().GetWarm().AsDuration()
}

// restart turns the upstream cold and breaks what it was running.
func (u *upstream) restart() {
	u.incarnation++
	u.started = u.sim.events.now
	u.coldKnownAt = [2]time.Time{}
	u.coldInFlight = 0
}

// crash ends the process and brings a new one up after a while.
func (u *upstream) crash() {
	u.sim.counters.crashes++
	u.down = true
	u.incarnation++
	u.running = 0
	for _, v := range append(u.queue, u.active...) {
		v.aborted = true
		v.fail(cause.ConnBroken)
	}
	u.queue, u.active = nil, nil
	u.sim.events.after(crashDowntime, func() {
		u.down = false
		u.restart()
	})
}

// crashDowntime is how long a crashed upstream is gone.
const crashDowntime = 500 * time.Millisecond

func (v *simAttempt) fail(c cause.Cause) { v.done(result.Result{Cause: c}) }

// accept takes in an attempt.
func (u *upstream) accept(v *simAttempt) {
	if u.down {
		v.fail(cause.Unsent)
		return
	}
	v.incarnation = u.incarnation
	u.checkColdLimit(v)
	u.checkDrained(v)
	switch {
	case u.draining || (u.running >= u.slots() && len(u.queue) >= int(u.sim.trace.GetFleet().GetBacklog())):
		u.releaseCold(v)
		u.respond(v, result.Result{Cause: cause.Shed, Status: 503})
	case u.sim.shedFraction > 0 && u.sim.rand.Float64() < u.sim.shedFraction:
		u.releaseCold(v)
		u.respond(v, result.Result{Cause: cause.Shed, Status: 503})
	case u.failing:
		u.countRun(v)
		u.releaseCold(v)
		u.respond(v, result.Result{Cause: cause.Error, Status: 500})
	case v.call.poison:
		u.countRun(v)
		u.sim.counters.poisonCrashes++
		v.fail(cause.ConnBroken)
		u.crash()
	default:
		u.queue = append(u.queue, v)
		u.startQueued()
	}
}

func (u *upstream) slots() int { return int(u.sim.trace.GetFleet().GetSlots()) }

// startQueued starts queued attempts while slots are free.
func (u *upstream) startQueued() {
	for u.running < u.slots() && len(u.queue) > 0 {
		v := u.queue[0]
		u.queue = u.queue[1:]
		if v.closed {
			continue
		}
		u.running++
		u.active = append(u.active, v)
		u.countRun(v)
		u.sim.events.after(u.duration(v), func() { u.complete(v) })
	}
}

// complete finishes an attempt that ran.
func (u *upstream) complete(v *simAttempt) {
	if v.aborted {
		return
	}
	u.running--
	if i := slices.Index(u.active, v); i >= 0 {
		u.active = slices.Delete(u.active, i, i+1)
	}
	u.releaseCold(v)
	if u.onBadVersion(v) && u.sim.trace.GetPlan().GetBad() == pb.Plan_FAILS {
		u.respond(v, result.Result{Cause: cause.Error, Status: 500})
	} else {
		u.respond(v, result.Result{Status: 200})
	}
	u.startQueued()
}

// respond sends the answer with a report.
func (u *upstream) respond(v *simAttempt, r result.Result) {
	if u.sim.counters.firstBadAnswer.IsZero() && u.onBadVersion(v) && r.Cause != cause.Shed {
		u.sim.counters.firstBadAnswer = u.sim.events.now
	}
	r.Report = u.report()
	if v.entry != nil && u.coldKnownAt[v.entry.partitionSide()].IsZero() {
		u.coldKnownAt[v.entry.partitionSide()] = u.sim.events.now
	}
	v.done(r)
}

func (u *upstream) report() *report.Report {
	r := &report.Report{
		InFlight: u.running + len(u.queue), Slots: u.slots(), Incarnation: u.incarnation,
		Uptime: u.sim.events.now.Sub(u.started), Cold: u.cold(), Draining: u.draining,
	}
	if u.sim.trace.GetFleet().GetAsk() > 0 {
		r.Slowdown = u.slowdown * u.noise
	}
	if u.underreports {
		r.InFlight = 0
	}
	return r
}

// cancel gives an attempt up.
func (u *upstream) cancel(v *simAttempt) {
	v.closed = true
	for i, q := range u.queue {
		if q == v {
			u.queue = append(u.queue[:i:i], u.queue[i+1:]...)
			u.releaseCold(v)
			return
		}
	}
	if i := slices.Index(u.active, v); i >= 0 {
		u.active = slices.Delete(u.active, i, i+1)
		u.running--
		v.aborted = true
		u.releaseCold(v)
		u.startQueued()
	}
}

// countRun counts a run of a call.
func (u *upstream) countRun(v *simAttempt) {
	v.call.runs++
	u.sim.counters.runs++
	if u.onBadVersion(v) {
		u.sim.counters.badVersionRuns++
		u.sim.counters.lastBadRun = u.sim.events.now
	}
}

// onBadVersion reports whether the version that an upstream runs treats a call badly.
func (u *upstream) onBadVersion(v *simAttempt) bool {
	p := u.sim.trace.GetPlan()
	if u.version == "v1" || p.GetBad() == pb.Plan_GOOD {
		return false
	}
	begin := u.sim.callsStart.Add(p.GetStart().AsDuration() + p.GetAfter().AsDuration())
	if u.sim.events.now.Before(begin) || (p.GetRoute() && v.call.id%routes != 0) {
		return false
	}
	return u.running*100 >= u.slots()*int(p.GetLoad())
}

// routes is the number of routes of a service during a move.
const routes = 5

// checkColdLimit counts an attempt at a cold upstream once entries could know of the cold start.
func (u *upstream) checkColdLimit(v *simAttempt) {
	if v.entry == nil {
		// The oracle has no entries and knows every start.
		return
	}
	told := u.coldKnownAt[v.entry.partitionSide()]
	if !u.cold() || told.IsZero() || v.sent.Before(told.Add(coldNoticeGrace)) {
		return
	}
	v.countedCold = true
	u.coldInFlight++
	over := u.coldInFlight - int(u.sim.trace.GetFleet().GetCold())
	u.sim.counters.maxColdExcess = max(u.sim.counters.maxColdExcess, over)
}

func (u *upstream) releaseCold(v *simAttempt) {
	if v.countedCold && v.incarnation == u.incarnation {
		v.countedCold = false
		u.coldInFlight--
	}
}

// checkDrained counts new work that came too long after the upstream was to get none.
func (u *upstream) checkDrained(v *simAttempt) {
	for _, at := range []time.Time{u.domainOutAt, u.drainingAt} {
		if !at.IsZero() && v.sent.After(at.Add(drainGrace)) && !v.entry.isolatedSince(at) {
			u.sim.counters.drainViolations++
		}
	}
}

// drainGrace is the time in which new work must end.
const drainGrace = 3 * time.Second

// duration draws how long a call runs.
func (u *upstream) duration(v *simAttempt) time.Duration {
	f := u.slowdown * u.noise
	if fl := u.sim.trace.GetFleet(); float64(u.running) > tune.KneeUtilization*float64(u.slots()) {
		f *= 1 + float64(fl.GetKnee())/100
	}
	if u.cold() {
		f *= coldFactor
	}
	if v.call.bulk {
		f *= bulkFactor
	}
	if u.onBadVersion(v) && u.sim.trace.GetPlan().GetBad() == pb.Plan_SLOW {
		f *= badFactor
	}
	mean := float64(u.sim.trace.GetFleet().GetRun().AsDuration())
	return time.Duration(f * mean * (fixedPart + (1-fixedPart)*u.sim.rand.ExpFloat64()))
}

const (
	// coldFactor is how much longer calls take at a cold upstream.
	coldFactor = 3
	// badFactor is how much longer calls take on a bad version that is slow.
	badFactor = 5
	// bulkFactor is how much longer bulk calls take.
	bulkFactor = 20
	// fixedPart is the part of a call's time that does not vary.
	fixedPart = 0.5
)
