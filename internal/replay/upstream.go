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

// upstream simulates an upstream with slots, a bounded queue, a warm-up and faults.
type upstream struct {
	sim     *Sim
	index   int
	name    string
	domain  int
	version string

	incarnation uint64
	started     time.Time
	// down is set while the process is not running after a crash.
	down    bool
	running int
	active  []*simAttempt
	queue   []*simAttempt
	// slowdown and noise are factors on the run time, set by the slow and the noise fault; 1 means no effect.
	slowdown float64
	noise    float64
	failing  bool
	// degraded is set once the upstream has been made slow or failing, at degradedAt, and stays set when the fault ends.
	degraded        bool
	degradedAt      time.Time
	draining        bool
	drainingAt      time.Time
	domainDrainedAt time.Time
	// underreports makes load reports claim that no calls are in flight.
	underreports bool
	// coldKnownAt is when each side of a partition could first know of the current incarnation: from its first answer, or
	// from the record that restored its failure domain.
	coldKnownAt [2]time.Time
	probes      []time.Time
	// starts are the times at which attempts began to run.
	starts []time.Time
	// coldInFlight counts the attempts in flight that were sent after the cold start could be known.
	coldInFlight int
}

// simAttempt is one attempt of a call at an upstream.
type simAttempt struct {
	call   *simCall
	id     int
	sentAt time.Time
	entry  *entry
	// countedCold is set while the attempt counts toward coldInFlight of its upstream.
	countedCold bool
	// closed is set once the entry has the result or no longer wants it.
	closed bool
	// aborted is set when the attempt was stopped while it ran.
	aborted     bool
	incarnation uint64
	// respond delivers the result to the sender.
	respond func(result.Result)
}

// coldNoticeGrace is the time within which entries tell each other of a cold start that was not announced.
const coldNoticeGrace = 100 * time.Millisecond

// cold reports whether the upstream is still warming up.
func (u *upstream) cold() bool {
	return u.sim.events.now.Sub(u.started) < u.sim.trace.GetFleet().GetWarm().AsDuration()
}

// restart begins a new incarnation, which is cold. Attempts that are queued or running go on.
func (u *upstream) restart() {
	u.incarnation++
	u.started = u.sim.events.now
	u.coldKnownAt = [2]time.Time{}
	u.coldInFlight = 0
}

// crash ends the process, which breaks the connections of all its attempts, and starts a new one after crashDowntime.
func (u *upstream) crash() {
	u.sim.counters.crashes++
	u.down = true
	u.incarnation++
	u.running = 0
	for _, a := range append(u.queue, u.active...) {
		a.aborted = true
		a.fail(cause.ConnBroken)
	}
	u.queue, u.active = nil, nil
	u.sim.events.after(crashDowntime, func() {
		u.down = false
		u.restart()
	})
}

// crashDowntime is how long an upstream is down after a crash.
const crashDowntime = 500 * time.Millisecond

// fail ends the attempt with a failure.
func (a *simAttempt) fail(c cause.Cause) { a.respond(result.Result{Cause: c}) }

// accept queues an attempt or ends it at once.
//
// It sheds the attempt when the upstream is draining or is subject to the shed fault, and treats it as the trace says when
// the queue is full. It fails the attempt or crashes when another fault requires that.
func (u *upstream) accept(a *simAttempt) {
	if u.down {
		a.fail(cause.Unsent)
		return
	}
	a.incarnation = u.incarnation
	u.checkColdLimit(a)
	u.checkDrained(a)
	switch {
	case u.draining:
		u.releaseCold(a)
		u.respond(a, result.Result{Cause: cause.Shed, Status: 503})
	case u.running >= u.slots() && len(u.queue) >= int(u.sim.trace.GetFleet().GetBacklog()):
		u.releaseCold(a)
		u.rejectFull(a)
	case u.sim.shedFraction > 0 && u.sim.rand.Float64() < u.sim.shedFraction:
		u.releaseCold(a)
		u.respond(a, result.Result{Cause: cause.Shed, Status: 503})
	case u.failing:
		u.countRun(a)
		u.releaseCold(a)
		u.respond(a, result.Result{Cause: cause.Error, Status: 500})
	case a.call.poison:
		u.countRun(a)
		u.sim.counters.poisonCrashes++
		a.fail(cause.ConnBroken)
		u.crash()
	default:
		u.queue = append(u.queue, a)
		u.startQueued()
	}
}

// rejectFull treats an attempt that finds the queue full as the trace says: it sheds it, never answers it or resets its
// connection.
func (u *upstream) rejectFull(a *simAttempt) {
	switch u.sim.trace.GetFleet().GetFull() {
	case pb.Fleet_MUTE:
		a.call.unheard = true
	case pb.Fleet_RESETS:
		a.call.unheard = true
		a.fail(cause.ConnBroken)
	default:
		u.respond(a, result.Result{Cause: cause.Shed, Status: 503})
	}
}

// slots returns the number of calls that the upstream runs at a time.
func (u *upstream) slots() int { return int(u.sim.trace.GetFleet().GetSlots()) }

// startQueued starts queued attempts while slots are free.
func (u *upstream) startQueued() {
	for u.running < u.slots() && len(u.queue) > 0 {
		a := u.queue[0]
		u.queue = u.queue[1:]
		if a.closed {
			continue
		}
		u.running++
		u.active = append(u.active, a)
		u.countRun(a)
		u.sim.events.after(u.duration(a), func() { u.complete(a) })
	}
}

// complete ends an attempt that has run, unless it was aborted, and starts the next ones.
func (u *upstream) complete(a *simAttempt) {
	if a.aborted {
		return
	}
	u.running--
	if i := slices.Index(u.active, a); i >= 0 {
		u.active = slices.Delete(u.active, i, i+1)
	}
	u.releaseCold(a)
	if u.onBadVersion(a) && u.sim.trace.GetPlan().GetBad() == pb.Plan_FAILS {
		u.respond(a, result.Result{Cause: cause.Error, Status: 500})
	} else {
		u.respond(a, result.Result{Status: 200})
	}
	u.startQueued()
}

// respond answers an attempt with a result and a load report.
//
// With the first answer of an incarnation, the entry's side of a partition can know of the cold start.
func (u *upstream) respond(a *simAttempt, r result.Result) {
	if u.sim.counters.firstBadAnswer.IsZero() && u.onBadVersion(a) && r.Cause != cause.Shed {
		u.sim.counters.firstBadAnswer = u.sim.events.now
	}
	r.Report = u.report()
	if a.entry != nil && u.coldKnownAt[a.entry.partitionSide()].IsZero() {
		u.coldKnownAt[a.entry.partitionSide()] = u.sim.events.now
	}
	a.respond(r)
}

// report returns the current load report.
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

// cancel drops an attempt that is queued, or stops it if it is running.
func (u *upstream) cancel(a *simAttempt) {
	a.closed = true
	for i, q := range u.queue {
		if q == a {
			u.queue = append(u.queue[:i:i], u.queue[i+1:]...)
			u.releaseCold(a)
			return
		}
	}
	if i := slices.Index(u.active, a); i >= 0 {
		u.active = slices.Delete(u.active, i, i+1)
		u.running--
		a.aborted = true
		u.releaseCold(a)
		u.startQueued()
	}
}

// countRun counts the start of a run of a call.
func (u *upstream) countRun(a *simAttempt) {
	a.call.runs++
	u.sim.counters.runs++
	u.starts = append(u.starts, u.sim.events.now)
	if u.onBadVersion(a) {
		u.sim.counters.badVersionRuns++
		u.sim.counters.lastBadRun = u.sim.events.now
	}
}

// onBadVersion reports whether the upstream runs a new version that behaves badly for this call at this time and load.
func (u *upstream) onBadVersion(a *simAttempt) bool {
	p := u.sim.trace.GetPlan()
	if u.version == "v1" || p.GetBad() == pb.Plan_GOOD {
		return false
	}
	begin := u.sim.callsStart.Add(p.GetStart().AsDuration() + p.GetAfter().AsDuration())
	if u.sim.events.now.Before(begin) || (p.GetRoute() && a.call.id%routeCount != 0) {
		return false
	}
	return u.running*100 >= u.slots()*int(p.GetLoad())
}

// routeCount is the number of routes of the service during a rollout.
const routeCount = 5

// checkColdLimit counts an attempt against the limit of a cold upstream, if its entry could know of the cold start.
func (u *upstream) checkColdLimit(a *simAttempt) {
	if a.entry == nil {
		// The oracle has no entries and knows every start.
		return
	}
	knownAt := u.coldKnownAt[a.entry.partitionSide()]
	if !u.cold() || knownAt.IsZero() || a.sentAt.Before(knownAt.Add(coldNoticeGrace)) {
		return
	}
	a.countedCold = true
	u.coldInFlight++
	excess := u.coldInFlight - int(u.sim.trace.GetFleet().GetCold())
	u.sim.counters.maxColdExcess = max(u.sim.counters.maxColdExcess, excess)
}

// releaseCold undoes checkColdLimit when the attempt ends, unless the upstream has restarted since.
func (u *upstream) releaseCold(a *simAttempt) {
	if a.countedCold && a.incarnation == u.incarnation {
		a.countedCold = false
		u.coldInFlight--
	}
}

// checkDrained counts violations: attempts sent more than drainGrace after the upstream began draining or its failure domain
// was drained. Attempts of an entry that could not learn of the change do not count.
func (u *upstream) checkDrained(a *simAttempt) {
	for _, at := range []time.Time{u.domainDrainedAt, u.drainingAt} {
		if !at.IsZero() && a.sentAt.After(at.Add(drainGrace)) && !a.entry.isolatedSince(at) {
			u.sim.counters.drainViolations++
		}
	}
}

// drainGrace is the time after which an upstream that is out of service must get no new attempts.
const drainGrace = 3 * time.Second

// duration draws how long an attempt runs under the present load, warm-up and faults of the upstream.
func (u *upstream) duration(a *simAttempt) time.Duration {
	factor := u.slowdown * u.noise
	if fleet := u.sim.trace.GetFleet(); float64(u.running) > tune.KneeUtilization*float64(u.slots()) {
		factor *= 1 + float64(fleet.GetKnee())/100
	}
	if u.cold() {
		factor *= coldRunFactor
	}
	if a.call.bulk {
		factor *= bulkRunFactor
	}
	if u.onBadVersion(a) && u.sim.trace.GetPlan().GetBad() == pb.Plan_SLOW {
		factor *= badVersionRunFactor
	}
	mean := float64(u.sim.trace.GetFleet().GetRun().AsDuration())
	return time.Duration(factor * mean * (fixedRunFraction + (1-fixedRunFraction)*u.sim.rand.ExpFloat64()))
}

const (
	// coldRunFactor is how many times as long calls run at a cold upstream.
	coldRunFactor = 3
	// badVersionRunFactor is how many times as long calls run on a bad version that is slow.
	badVersionRunFactor = 5
	// bulkRunFactor is how many times as long bulk calls run.
	bulkRunFactor = 20
	// fixedRunFraction is the fraction of the run time that does not vary between calls.
	fixedRunFraction = 0.5
)
