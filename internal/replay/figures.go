package replay

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/fate"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
)

// figures are what a run counts as it goes.
type figures struct {
	attempts int
	// runs counts the attempts that upstreams began to work on.
	runs     int
	crashes  int
	poisoned int
	// cold is the most calls in flight beyond what a cold upstream bears.
	cold    int
	out     int
	reverts int
	// crossing makes some answers come with another attempt's identity.
	crossing bool
	turn     int
	// watched and total count the attempts while an upstream was slow or failing.
	watched int
	total   int
	// reads and writes are the store's counts before the first call.
	reads  int
	writes int
	// applied are the records written, and inforce the longest time until one was in force everywhere.
	applied []written
	inforce time.Duration
	// exposed counts the runs on a bad version, from firstBad to lastBad.
	exposed  int
	firstBad time.Time
	lastBad  time.Time
}

func (f *figures) init() { f.cold = -1 << 20 }

// crossed decides whether an answer crosses with another.
func (f *figures) crossed(_ *Sim, c cause.Cause) bool {
	if !f.crossing || c != cause.None {
		return false
	}
	f.turn++
	return f.turn%crossedEvery == 0
}

// crossedEvery is the number of answers of which one is crossed while that fault lasts.
const crossedEvery = 50

// Limits of the latency histograms in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 120_000_000
	digits         = 3
)

// sum works out the figures of the run.
func (s *Sim) sum() map[pb.Bound_Figure]float64 {
	out := map[pb.Bound_Figure]float64{
		pb.Bound_OUT:     float64(s.figures.out),
		pb.Bound_COLD:    max(0, float64(s.figures.cold)),
		pb.Bound_CRASHED: float64(s.figures.poisoned),
		pb.Bound_PROBES:  float64(s.overProbed()),
		pb.Bound_REVERTS: float64(s.figures.reverts),
		pb.Bound_INFORCE: s.inForce().Seconds(),
	}
	if s.figures.total > 0 {
		fair := float64(s.figures.total) * float64(s.watchedUpstreams()) / float64(len(s.upstreams))
		out[pb.Bound_SHARE] = float64(s.figures.watched) / fair
	}
	length := s.agenda.now.Sub(s.began).Seconds()
	out[pb.Bound_READS] = float64(s.store.reads-s.figures.reads) / length
	out[pb.Bound_WRITES] = float64(s.store.writes-s.figures.writes) / length
	s.latencies(out)
	s.outcomes(out)
	s.moved(out)
	return out
}

// moved works out the figures of a move.
func (s *Sim) moved(out map[pb.Bound_Figure]float64) {
	if len(s.calls) > 0 {
		out[pb.Bound_EXPOSED] = float64(s.figures.exposed) / float64(len(s.calls))
	}
	out[pb.Bound_DETECT] = s.figures.lastBad.Sub(s.figures.firstBad).Seconds()
	v, err := codec.Decode(s.store.items[keys.Rollout(moveName)])
	if err != nil || v.Progress == nil {
		return
	}
	p := s.trace.GetPlan()
	deadline := s.began.Add(p.GetStart().AsDuration() + p.GetLength().AsDuration())
	switch {
	case v.Progress.Phase == phase.RolledBack:
		out[pb.Bound_REVERTED] = 1
	case v.Progress.Phase == phase.Done && !v.Progress.SteppedAt.After(deadline):
		out[pb.Bound_MOVED] = 1
	}
}

// outcomes counts what callers were told against what ran.
func (s *Sim) outcomes(out map[pb.Bound_Figure]float64) {
	counted, answered, timely, refused := 0, 0, 0, 0
	goal := s.trace.GetLoad().GetGoal().AsDuration()
	for _, c := range s.calls {
		if c.once && c.runs > 1 {
			out[pb.Bound_REPEATED] += float64(c.runs - 1)
		}
		if c.claimsNotRun() && c.runs > 0 {
			out[pb.Bound_FALSE]++
		}
		if c.at.Sub(s.began) < s.trace.GetSkip().AsDuration() {
			continue
		}
		if c.left {
			continue
		}
		counted++
		if c.claimsNotRun() {
			refused++
		}
		if c.ended && c.took <= goal {
			timely++
		}
		if c.ended {
			answered++
			if c.took > s.trace.GetLoad().GetTimeout().AsDuration() && !c.bulk {
				out[pb.Bound_LATE]++
			}
		}
	}
	out[pb.Bound_CALLS] = float64(counted)
	if s.figures.runs > 0 {
		out[pb.Bound_WASTED] = 1 - float64(s.useful(goal))/float64(s.figures.runs)
	}
	if counted > 0 {
		out[pb.Bound_ANSWERED] = float64(answered) / float64(counted)
		out[pb.Bound_INGOAL] = float64(timely) / float64(counted)
		out[pb.Bound_REFUSED] = float64(refused) / float64(counted)
		out[pb.Bound_RETRIES] = float64(s.figures.attempts)/float64(len(s.calls)) - 1
	}
}

// useful counts the calls of the whole trace that were answered by their goal.
func (s *Sim) useful(goal time.Duration) int {
	n := 0
	for _, c := range s.calls {
		if c.ended && c.took <= goal && !c.left {
			n++
		}
	}
	return n
}

// claimsNotRun reports whether the last word to the caller was that the call did not run.
func (c *simCall) claimsNotRun() bool {
	return len(c.fates) > 0 && c.fates[len(c.fates)-1] == fate.NotRun && !c.ended
}

// latencies works out the tails, in milliseconds.
func (s *Sim) latencies(out map[pb.Bound_Figure]float64) {
	all := hdrhistogram.New(lowestLatency, highestLatency, digits)
	others := hdrhistogram.New(lowestLatency, highestLatency, digits)
	bulk := hdrhistogram.New(lowestLatency, highestLatency, digits)
	for _, c := range s.calls {
		if !c.ended || c.at.Sub(s.began) < s.trace.GetSkip().AsDuration() {
			continue
		}
		h := all
		if c.bulk {
			h = bulk
		}
		// Times above the range of the histogram cannot occur within a trace.
		_ = h.RecordValue(min(c.took.Microseconds(), highestLatency))
		if !c.bulk && c.caller != "caller-0" {
			_ = others.RecordValue(min(c.took.Microseconds(), highestLatency))
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	out[pb.Bound_P99], out[pb.Bound_P999] = ms(all, 99), ms(all, 99.9)
	out[pb.Bound_STARVED], out[pb.Bound_BULK] = ms(others, 99), ms(bulk, 99)
}

// overProbed returns the most probes of an upstream in any second beyond its budget.
func (s *Sim) overProbed() int {
	over := 0
	budget := int(s.trace.GetFleet().GetBudget())
	for _, u := range s.upstreams {
		first := 0
		for i, at := range u.probes {
			for at.Sub(u.probes[first]) >= time.Second {
				first++
			}
			over = max(over, i-first+1-budget)
		}
	}
	return over
}

// watch counts an attempt while an upstream was slow or failing for longer than it takes to notice.
func (s *Sim) watch(u *upstream) {
	if !slices.ContainsFunc(s.upstreams, func(o *upstream) bool { return o.badFor() > badNotice }) {
		return
	}
	s.figures.total++
	if u.bad {
		s.figures.watched++
	}
}

// badNotice is the time in which an upstream that turned bad must have lost its share.
const badNotice = 50 * time.Millisecond

func (u *upstream) badFor() time.Duration {
	if !u.bad || (u.factor == 1 && !u.failing) {
		return 0
	}
	return u.sim.agenda.now.Sub(u.badAt)
}

func (s *Sim) watchedUpstreams() int {
	n := 0
	for _, u := range s.upstreams {
		if u.bad {
			n++
		}
	}
	return n
}

// installed notes how long the records took that an entry now has in force.
func (f *figures) installed(now time.Time, from, to int64) {
	for _, w := range f.applied {
		if w.revision > from && w.revision <= to {
			f.inforce = max(f.inforce, now.Sub(w.at))
		}
	}
}

// inForce is the longest time until a record was in force; one that never was counts until the end.
func (s *Sim) inForce() time.Duration {
	worst := s.figures.inforce
	for _, e := range s.entries {
		for _, w := range s.figures.applied {
			if w.revision > e.revision {
				worst = max(worst, s.agenda.now.Sub(w.at))
			}
		}
	}
	return worst
}
