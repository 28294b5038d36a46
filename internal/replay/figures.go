package replay

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
)

// counters are what a run counts as it goes.
type counters struct {
	attempts int
	// runs counts the attempts that upstreams began to work on.
	runs          int
	crashes       int
	poisonCrashes int
	// maxColdExcess is the most calls in flight beyond what a cold upstream bears.
	maxColdExcess       int
	drainViolations     int
	revisionRegressions int
	// mismatching makes some answers come with another attempt's identity.
	mismatching bool
	answerCount int
	// degradedAttempts and total count the attempts while an upstream was slow or failing.
	degradedAttempts    int
	attemptsDuringFault int
	// initialReads and writes are the store's counts before the first call.
	initialReads  int
	initialWrites int
	// appliedRecords are the records written, and inforce the longest time until one was in force everywhere.
	appliedRecords []appliedRecord
	maxPropagation time.Duration
	// badVersionRuns counts the runs on a bad version, from firstBad to lastBad.
	badVersionRuns int
	firstBadAnswer time.Time
	lastBadRun     time.Time
}

func (f *counters) init() { f.maxColdExcess = -1 << 20 }

// injectMismatch decides whether an answer crosses with another.
func (f *counters) injectMismatch(_ *Sim, c cause.Cause) bool {
	if !f.mismatching || c != cause.None {
		return false
	}
	f.answerCount++
	return f.answerCount%mismatchEvery == 0
}

// mismatchEvery is the number of answers of which one is crossed while that fault lasts.
const mismatchEvery = 50

// Limits of the latency histograms in microseconds.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
	digits           = 3
)

// computeFigures works out the figures of the run.
func (s *Sim) computeFigures() map[pb.Bound_Figure]float64 {
	out := map[pb.Bound_Figure]float64{
		pb.Bound_OUT:     float64(s.counters.drainViolations),
		pb.Bound_COLD:    max(0, float64(s.counters.maxColdExcess)),
		pb.Bound_CRASHED: float64(s.counters.poisonCrashes),
		pb.Bound_PROBES:  float64(s.maxProbeExcess()),
		pb.Bound_REVERTS: float64(s.counters.revisionRegressions),
		pb.Bound_INFORCE: s.maxPropagation().Seconds(),
	}
	if s.counters.attemptsDuringFault > 0 {
		fair := float64(s.counters.attemptsDuringFault) * float64(s.degradedUpstreams()) / float64(len(s.upstreams))
		out[pb.Bound_SHARE] = float64(s.counters.degradedAttempts) / fair
	}
	length := s.events.now.Sub(s.callsStart).Seconds()
	out[pb.Bound_READS] = float64(s.store.reads-s.counters.initialReads) / length
	out[pb.Bound_WRITES] = float64(s.store.writes-s.counters.initialWrites) / length
	s.addLatencyFigures(out)
	s.addCallFigures(out)
	s.addRolloutFigures(out)
	return out
}

// addRolloutFigures works out the figures of a move.
func (s *Sim) addRolloutFigures(out map[pb.Bound_Figure]float64) {
	if len(s.calls) > 0 {
		out[pb.Bound_EXPOSED] = float64(s.counters.badVersionRuns) / float64(len(s.calls))
	}
	out[pb.Bound_DETECT] = s.counters.lastBadRun.Sub(s.counters.firstBadAnswer).Seconds()
	v, err := codec.Decode(s.store.items[keys.Rollout(rolloutName)])
	if err != nil || v.Progress == nil {
		return
	}
	p := s.trace.GetPlan()
	deadline := s.callsStart.Add(p.GetStart().AsDuration() + p.GetLength().AsDuration())
	switch {
	case v.Progress.Phase == phase.RolledBack:
		out[pb.Bound_REVERTED] = 1
	case v.Progress.Phase == phase.Done && !v.Progress.SteppedAt.After(deadline):
		out[pb.Bound_MOVED] = 1
	}
}

// addCallFigures counts what callers were told against what ran.
func (s *Sim) addCallFigures(out map[pb.Bound_Figure]float64) {
	counted, answered, timely, refused := 0, 0, 0, 0
	goal := s.trace.GetLoad().GetGoal().AsDuration()
	for _, c := range s.calls {
		if c.nonIdempotent && c.runs > 1 {
			out[pb.Bound_REPEATED] += float64(c.runs - 1)
		}
		if c.reportedNotRun() && c.runs > 0 {
			out[pb.Bound_FALSE]++
		}
		if c.at.Sub(s.callsStart) < s.trace.GetSkip().AsDuration() {
			continue
		}
		if c.abandoned {
			continue
		}
		counted++
		if c.reportedNotRun() {
			refused++
		}
		if c.answered && c.took <= goal {
			timely++
		}
		if c.answered {
			answered++
			if c.took > s.trace.GetLoad().GetTimeout().AsDuration() && !c.bulk {
				out[pb.Bound_LATE]++
			}
		}
	}
	out[pb.Bound_CALLS] = float64(counted)
	if s.counters.runs > 0 {
		out[pb.Bound_WASTED] = 1 - float64(s.goodput(goal))/float64(s.counters.runs)
	}
	if counted > 0 {
		out[pb.Bound_ANSWERED] = float64(answered) / float64(counted)
		out[pb.Bound_INGOAL] = float64(timely) / float64(counted)
		out[pb.Bound_REFUSED] = float64(refused) / float64(counted)
		out[pb.Bound_RETRIES] = float64(s.counters.attempts)/float64(len(s.calls)) - 1
	}
}

// goodput counts the calls of the whole trace that were answered by their goal.
func (s *Sim) goodput(goal time.Duration) int {
	n := 0
	for _, c := range s.calls {
		if c.answered && c.took <= goal && !c.abandoned {
			n++
		}
	}
	return n
}

// reportedNotRun reports whether the last word to the caller was that the call did not run.
func (c *simCall) reportedNotRun() bool {
	return len(c.outcomes) > 0 && c.outcomes[len(c.outcomes)-1] == outcom.NotRun && !c.answered
}

// addLatencyFigures works out the tails, in milliseconds.
func (s *Sim) addLatencyFigures(out map[pb.Bound_Figure]float64) {
	all := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, digits)
	others := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, digits)
	bulk := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, digits)
	for _, c := range s.calls {
		if !c.answered || c.at.Sub(s.callsStart) < s.trace.GetSkip().AsDuration() {
			continue
		}
		h := all
		if c.bulk {
			h = bulk
		}
		// Times above the range of the histogram cannot occur within a trace.
		_ = h.RecordValue(min(c.took.Microseconds(), maxLatencyMicros))
		if !c.bulk && c.caller != "caller-0" {
			_ = others.RecordValue(min(c.took.Microseconds(), maxLatencyMicros))
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	out[pb.Bound_P99], out[pb.Bound_P999] = ms(all, 99), ms(all, 99.9)
	out[pb.Bound_STARVED], out[pb.Bound_BULK] = ms(others, 99), ms(bulk, 99)
}

// maxProbeExcess returns the most probes of an upstream in any second beyond its budget.
func (s *Sim) maxProbeExcess() int {
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

// countDuringFault counts an attempt while an upstream was slow or failing for longer than it takes to notice.
func (s *Sim) countDuringFault(u *upstream) {
	if !slices.ContainsFunc(s.upstreams, func(o *upstream) bool { return o.degradedFor() > degradedGrace }) {
		return
	}
	s.counters.attemptsDuringFault++
	if u.degraded {
		s.counters.degradedAttempts++
	}
}

// degradedGrace is the time in which an upstream that turned bad must have lost its share.
const degradedGrace = 50 * time.Millisecond

func (u *upstream) degradedFor() time.Duration {
	if !u.degraded || (u.slowdown == 1 && !u.failing) {
		return 0
	}
	return u.sim.events.now.Sub(u.degradedAt)
}

func (s *Sim) degradedUpstreams() int {
	n := 0
	for _, u := range s.upstreams {
		if u.degraded {
			n++
		}
	}
	return n
}

// recordPropagation notes how long the records took that an entry now has in force.
func (f *counters) recordPropagation(now time.Time, from, to int64) {
	for _, w := range f.appliedRecords {
		if w.revision > from && w.revision <= to {
			f.maxPropagation = max(f.maxPropagation, now.Sub(w.at))
		}
	}
}

// maxPropagation is the longest time until a record was in force; one that never was counts until the end.
func (s *Sim) maxPropagation() time.Duration {
	worst := s.counters.maxPropagation
	for _, e := range s.entries {
		for _, w := range s.counters.appliedRecords {
			if w.revision > e.revision {
				worst = max(worst, s.events.now.Sub(w.at))
			}
		}
	}
	return worst
}
