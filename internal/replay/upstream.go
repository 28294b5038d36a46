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

	boot    uint64
	started time.Time
	down    bool
	running int
	active  []*visit
	queue   []*visit
	factor  float64
	noise   float64
	failing bool
	// bad is set once the upstream was made slow or failing, at badAt.
	bad     bool
	badAt   time.Time
	leaving bool
	leftAt  time.Time
	outAt   time.Time
	lies    bool
	// told is when each side of a split first had an answer from the present start.
	told   [2]time.Time
	probes []time.Time
	// coldSince counts the calls in flight that were sent after the cold start could be known.
	coldIn int
}

// visit is one attempt at an upstream.
type visit struct {
	call    *simCall
	attempt int
	sent    time.Time
	entry   *entry
	counted bool
	gone    bool
	// crashed is set when the attempt was cut off while it ran.
	crashed bool
	boot    uint64
	done    func(result.Result)
}

// noticeTime is the time in which entries tell each other of a cold start that nobody announced.
const noticeTime = 100 * time.Millisecond

func (u *upstream) cold() bool {
	return u.sim.agenda.now.Sub(u.started) < u.sim.trace.GetFleet().GetWarm().AsDuration()
}

// restart turns the upstream cold and breaks what it was running.
func (u *upstream) restart() {
	u.boot++
	u.started = u.sim.agenda.now
	u.told = [2]time.Time{}
	u.coldIn = 0
}

// crash ends the process and brings a new one up after a while.
func (u *upstream) crash() {
	u.sim.figures.crashes++
	u.down = true
	u.boot++
	u.running = 0
	for _, v := range append(u.queue, u.active...) {
		v.crashed = true
		v.fail(cause.ConnBroken)
	}
	u.queue, u.active = nil, nil
	u.sim.agenda.after(crashTime, func() {
		u.down = false
		u.restart()
	})
}

// crashTime is how long a crashed upstream is gone.
const crashTime = 500 * time.Millisecond

func (v *visit) fail(c cause.Cause) { v.done(result.Result{Cause: c}) }

// arrive takes in an attempt.
func (u *upstream) arrive(v *visit) {
	if u.down {
		v.fail(cause.Unsent)
		return
	}
	v.boot = u.boot
	u.seeCold(v)
	u.seeOut(v)
	switch {
	case u.leaving || (u.running >= u.slots() && len(u.queue) >= int(u.sim.trace.GetFleet().GetBacklog())):
		u.uncount(v)
		u.finish(v, result.Result{Cause: cause.Shed, Status: 503})
	case u.sim.shed > 0 && u.sim.rand.Float64() < u.sim.shed:
		u.uncount(v)
		u.finish(v, result.Result{Cause: cause.Shed, Status: 503})
	case u.failing:
		u.ran(v)
		u.uncount(v)
		u.finish(v, result.Result{Cause: cause.Error, Status: 500})
	case v.call.deadly:
		u.ran(v)
		u.sim.figures.poisoned++
		v.fail(cause.ConnBroken)
		u.crash()
	default:
		u.queue = append(u.queue, v)
		u.advance()
	}
}

func (u *upstream) slots() int { return int(u.sim.trace.GetFleet().GetSlots()) }

// advance starts queued attempts while slots are free.
func (u *upstream) advance() {
	for u.running < u.slots() && len(u.queue) > 0 {
		v := u.queue[0]
		u.queue = u.queue[1:]
		if v.gone {
			continue
		}
		u.running++
		u.active = append(u.active, v)
		u.ran(v)
		u.sim.agenda.after(u.duration(v), func() { u.end(v) })
	}
}

// end finishes an attempt that ran.
func (u *upstream) end(v *visit) {
	if v.crashed {
		return
	}
	u.running--
	if i := slices.Index(u.active, v); i >= 0 {
		u.active = slices.Delete(u.active, i, i+1)
	}
	u.uncount(v)
	if u.isBad(v) && u.sim.trace.GetPlan().GetBad() == pb.Plan_FAILS {
		u.finish(v, result.Result{Cause: cause.Error, Status: 500})
	} else {
		u.finish(v, result.Result{Status: 200})
	}
	u.advance()
}

// finish sends the answer with a report.
func (u *upstream) finish(v *visit, r result.Result) {
	if u.sim.figures.firstBad.IsZero() && u.isBad(v) && r.Cause != cause.Shed {
		u.sim.figures.firstBad = u.sim.agenda.now
	}
	r.Report = u.report()
	if v.entry != nil && u.told[v.entry.side()].IsZero() {
		u.told[v.entry.side()] = u.sim.agenda.now
	}
	v.done(r)
}

func (u *upstream) report() *report.Report {
	r := &report.Report{
		InFlight: u.running + len(u.queue), Slots: u.slots(), Incarnation: u.boot,
		Uptime: u.sim.agenda.now.Sub(u.started), Cold: u.cold(), Draining: u.leaving,
	}
	if u.sim.trace.GetFleet().GetAsk() > 0 {
		r.Slowdown = u.factor * u.noise
	}
	if u.lies {
		r.InFlight = 0
	}
	return r
}

// cancel gives an attempt up.
func (u *upstream) cancel(v *visit) {
	v.gone = true
	for i, q := range u.queue {
		if q == v {
			u.queue = append(u.queue[:i:i], u.queue[i+1:]...)
			u.uncount(v)
			return
		}
	}
	if i := slices.Index(u.active, v); i >= 0 {
		u.active = slices.Delete(u.active, i, i+1)
		u.running--
		v.crashed = true
		u.uncount(v)
		u.advance()
	}
}

// ran counts a run of a call.
func (u *upstream) ran(v *visit) {
	v.call.runs++
	u.sim.figures.runs++
	if u.isBad(v) {
		u.sim.figures.exposed++
		u.sim.figures.lastBad = u.sim.agenda.now
	}
}

// isBad reports whether the version that an upstream runs treats a call badly.
func (u *upstream) isBad(v *visit) bool {
	p := u.sim.trace.GetPlan()
	if u.version == "v1" || p.GetBad() == pb.Plan_GOOD {
		return false
	}
	begin := u.sim.began.Add(p.GetStart().AsDuration() + p.GetAfter().AsDuration())
	if u.sim.agenda.now.Before(begin) || (p.GetRoute() && v.call.id%routes != 0) {
		return false
	}
	return u.running*100 >= u.slots()*int(p.GetLoad())
}

// routes is the number of routes of a service during a move.
const routes = 5

// seeCold counts an attempt at a cold upstream once entries could know of the cold start.
func (u *upstream) seeCold(v *visit) {
	if v.entry == nil {
		// The oracle has no entries and knows every start.
		return
	}
	told := u.told[v.entry.side()]
	if !u.cold() || told.IsZero() || v.sent.Before(told.Add(noticeTime)) {
		return
	}
	v.counted = true
	u.coldIn++
	over := u.coldIn - int(u.sim.trace.GetFleet().GetCold())
	u.sim.figures.cold = max(u.sim.figures.cold, over)
}

func (u *upstream) uncount(v *visit) {
	if v.counted && v.boot == u.boot {
		v.counted = false
		u.coldIn--
	}
}

// seeOut counts new work that came too long after the upstream was to get none.
func (u *upstream) seeOut(v *visit) {
	for _, at := range []time.Time{u.outAt, u.leftAt} {
		if !at.IsZero() && v.sent.After(at.Add(outTime)) && !v.entry.unaware(at) {
			u.sim.figures.out++
		}
	}
}

// outTime is the time in which new work must end.
const outTime = 3 * time.Second

// duration draws how long a call runs.
func (u *upstream) duration(v *visit) time.Duration {
	f := u.factor * u.noise
	if fl := u.sim.trace.GetFleet(); float64(u.running) > tune.KneeUtilization*float64(u.slots()) {
		f *= 1 + float64(fl.GetKnee())/100
	}
	if u.cold() {
		f *= coldFactor
	}
	if v.call.bulk {
		f *= bulkFactor
	}
	if u.isBad(v) && u.sim.trace.GetPlan().GetBad() == pb.Plan_SLOW {
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
