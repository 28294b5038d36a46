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
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// counters holds the values that a run collects for its figures.
type counters struct {
	// attempts counts the attempts that entries have sent.
	attempts int
	// remoteAttempts counts those that went to another failure domain.
	remoteAttempts int
	// runs counts the attempts that upstreams began to run.
	runs          int
	crashes       int
	poisonCrashes int
	// maxColdExcess is the largest number of calls in flight at a cold upstream beyond its limit.
	maxColdExcess int
	// drainViolations counts the attempts sent to an upstream too long after it or its domain was taken out of service.
	drainViolations int
	// revisionRegressions counts the snapshots with a lower revision than their predecessor.
	revisionRegressions int
	// mismatching makes some answers carry the identity of another attempt.
	mismatching bool
	// answerCount counts the answers received while mismatching is set.
	answerCount int
	// attemptsDuringFault counts the attempts sent while an upstream had been slow or failing for more than degradedGrace, and
	// attemptsAtDegraded those of them that went to a degraded upstream.
	attemptsAtDegraded  int
	attemptsDuringFault int
	// initialReads and initialWrites are the counts of the store before the first call.
	initialReads  int
	initialWrites int
	// appliedRecords holds the records that operators wrote during the run.
	appliedRecords []appliedRecord
	// maxPropagation is the longest time from the writing of such a record until an entry put it in force.
	maxPropagation time.Duration
	// badVersionRuns counts the runs on a version that behaved badly.
	badVersionRuns int
	// firstBadAnswer is the time of the first answer from such a version, and lastBadRun that of the start of the last such run.
	firstBadAnswer time.Time
	lastBadRun     time.Time
}

// init sets maxColdExcess below any value that can occur.
func (c *counters) init() { c.maxColdExcess = -1 << 20 }

// injectMismatch reports whether an answer is to carry the identity of another attempt. Failures never do.
func (c *counters) injectMismatch(_ *Sim, failure cause.Cause) bool {
	if !c.mismatching || failure != cause.None {
		return false
	}
	c.answerCount++
	return c.answerCount%mismatchInterval == 0
}

// mismatchInterval is the number of answers of which one is mismatched while that fault lasts.
const mismatchInterval = 50

// Parameters of the latency histograms.
const (
	// minLatencyMicros is the lowest latency that the histograms distinguish from 0, in microseconds.
	minLatencyMicros = 1
	// maxLatencyMicros is the highest latency that the histograms can record, in microseconds.
	maxLatencyMicros = 120_000_000
	// latencyDigits is the number of significant decimal digits.
	latencyDigits = 3
)

// computeFigures returns the figures of a finished run.
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
		evenShare := float64(s.counters.attemptsDuringFault) * float64(s.degradedUpstreams()) / float64(len(s.upstreams))
		out[pb.Bound_SHARE] = float64(s.counters.attemptsAtDegraded) / evenShare
	}
	length := s.events.now.Sub(s.callsStart).Seconds()
	out[pb.Bound_READS] = float64(s.storage.reads-s.counters.initialReads) / length
	out[pb.Bound_WRITES] = float64(s.storage.writes-s.counters.initialWrites) / length
	s.addLatencyFigures(out)
	s.addCallFigures(out)
	s.addRolloutFigures(out)
	s.addSpreadFigures(out)
	return out
}

// addSpreadFigures adds the figures of how the attempts are spread over upstreams and failure domains, and of those lost at
// full upstreams. They cover the whole trace.
func (s *Sim) addSpreadFigures(out map[pb.Bound_Figure]float64) {
	unheard := 0
	for _, c := range s.calls {
		if c.unheard {
			unheard++
		}
	}
	out[pb.Bound_UNHEARD] = float64(unheard) / float64(max(1, len(s.calls)))
	out[pb.Bound_REMOTE] = float64(s.counters.remoteAttempts) / float64(max(1, s.counters.attempts))
	for from := s.trace.GetSkip().AsDuration(); from+spreadWindow <= s.trace.GetLength().AsDuration(); from += spreadWindow {
		busiest, total := 0, 0
		for _, u := range s.upstreams {
			n := u.startsWithin(s.callsStart.Add(from), s.callsStart.Add(from+spreadWindow))
			busiest, total = max(busiest, n), total+n
		}
		mean := float64(total) / float64(len(s.upstreams))
		out[pb.Bound_SPREAD] = max(out[pb.Bound_SPREAD], float64(busiest)/max(mean, 1))
	}
}

// spreadWindow is the length of the windows of SPREAD.
const spreadWindow = 5 * time.Second

// startsWithin counts the attempts that began to run from one time until another.
func (u *upstream) startsWithin(from, to time.Time) int {
	n := 0
	for _, at := range u.starts {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// addRolloutFigures adds the figures of the trace's rollout.
func (s *Sim) addRolloutFigures(out map[pb.Bound_Figure]float64) {
	if len(s.calls) > 0 {
		out[pb.Bound_EXPOSED] = float64(s.counters.badVersionRuns) / float64(len(s.calls))
	}
	out[pb.Bound_DETECT] = s.counters.lastBadRun.Sub(s.counters.firstBadAnswer).Seconds()
	val, err := codec.Decode(s.storage.items[keys.Rollout(rolloutName)])
	if err != nil || val.Progress == nil {
		return
	}
	plan := s.trace.GetPlan()
	deadline := s.callsStart.Add(plan.GetStart().AsDuration() + plan.GetLength().AsDuration())
	switch {
	case val.Progress.Phase == phase.RolledBack:
		out[pb.Bound_REVERTED] = 1
	case val.Progress.Phase == phase.Done && !val.Progress.SteppedAt.After(deadline):
		out[pb.Bound_MOVED] = 1
	}
}

// addCallFigures adds the figures that compare what callers were told with what ran.
//
// REPEATED, FALSE, WASTED and RETRIES cover all calls. The others leave out the calls made during the skip time of the trace and
// the abandoned calls.
func (s *Sim) addCallFigures(out map[pb.Bound_Figure]float64) {
	counted, answered, timely, refused := 0, 0, 0, 0
	targetLatency := s.trace.GetLoad().GetGoal().AsDuration()
	for _, c := range s.calls {
		if c.nonIdempotent && c.runs > 1 {
			out[pb.Bound_REPEATED] += float64(c.runs - 1)
		}
		if c.reportedNotRun() && c.runs > 0 {
			out[pb.Bound_FALSE]++
		}
		if c.createdAt.Sub(s.callsStart) < s.trace.GetSkip().AsDuration() {
			continue
		}
		if c.abandoned {
			continue
		}
		counted++
		if c.reportedNotRun() {
			refused++
		}
		if c.answered && c.latency <= targetLatency {
			timely++
		}
		if c.answered {
			answered++
			if c.latency > s.trace.GetLoad().GetTimeout().AsDuration() && !c.bulk {
				out[pb.Bound_LATE]++
			}
		}
	}
	out[pb.Bound_CALLS] = float64(counted)
	if s.counters.runs > 0 {
		out[pb.Bound_WASTED] = 1 - float64(s.goodput(targetLatency))/float64(s.counters.runs)
	}
	if counted > 0 {
		out[pb.Bound_ANSWERED] = float64(answered) / float64(counted)
		out[pb.Bound_INGOAL] = float64(timely) / float64(counted)
		out[pb.Bound_REFUSED] = float64(refused) / float64(counted)
		out[pb.Bound_RETRIES] = float64(s.counters.attempts)/float64(len(s.calls)) - 1
	}
}

// goodput counts the calls of the whole trace that were answered within the target latency and not abandoned.
func (s *Sim) goodput(targetLatency time.Duration) int {
	n := 0
	for _, c := range s.calls {
		if c.answered && c.latency <= targetLatency && !c.abandoned {
			n++
		}
	}
	return n
}

// reportedNotRun reports whether the call was never answered and its last outcome told the caller that it had not run.
func (c *simCall) reportedNotRun() bool {
	return len(c.outcomes) > 0 && c.outcomes[len(c.outcomes)-1] == outcom.NotRun && !c.answered
}

// addLatencyFigures adds the tail latencies, in milliseconds.
//
// They cover the answered calls made after the skip time of the trace: P99 and P999 the interactive ones, STARVED those of them
// that the greedy caller did not make, and BULK the bulk ones.
func (s *Sim) addLatencyFigures(out map[pb.Bound_Figure]float64) {
	all := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	others := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	bulk := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	for _, c := range s.calls {
		if !c.answered || c.createdAt.Sub(s.callsStart) < s.trace.GetSkip().AsDuration() {
			continue
		}
		h := all
		if c.bulk {
			h = bulk
		}
		// RecordValue only fails for values above the range of the histogram, which min prevents.
		_ = h.RecordValue(min(c.latency.Microseconds(), maxLatencyMicros))
		if !c.bulk && c.caller != "caller-0" {
			_ = others.RecordValue(min(c.latency.Microseconds(), maxLatencyMicros))
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	out[pb.Bound_P99], out[pb.Bound_P999] = ms(all, 99), ms(all, 99.9)
	out[pb.Bound_STARVED], out[pb.Bound_BULK] = ms(others, 99), ms(bulk, 99)
}

// maxProbeExcess returns the largest number of probes beyond its budget that an upstream got within any second.
func (s *Sim) maxProbeExcess() int {
	maxExcess := 0
	budget := int(s.trace.GetFleet().GetBudget())
	for _, u := range s.upstreams {
		first := 0
		for i, at := range u.probes {
			for at.Sub(u.probes[first]) >= time.Second {
				first++
			}
			maxExcess = max(maxExcess, i-first+1-budget)
		}
	}
	return maxExcess
}

// countDuringFault counts an attempt to u if some upstream has been slow or failing for more than degradedGrace.
func (s *Sim) countDuringFault(u *upstream) {
	if !slices.ContainsFunc(s.upstreams, func(other *upstream) bool { return other.degradedFor() > degradedGrace }) {
		return
	}
	s.counters.attemptsDuringFault++
	if u.degraded {
		s.counters.attemptsAtDegraded++
	}
}

// degradedGrace is the time within which an upstream that has become slow or failing must have lost its share of the calls.
const degradedGrace = 50 * time.Millisecond

// degradedFor returns how long the upstream has been slow or failing, or 0 if it is neither now.
func (u *upstream) degradedFor() time.Duration {
	if !u.degraded || (u.slowdown == 1 && !u.failing) {
		return 0
	}
	return u.sim.events.now.Sub(u.degradedAt)
}

// degradedUpstreams counts the upstreams that have been slow or failing at any time.
func (s *Sim) degradedUpstreams() int {
	n := 0
	for _, u := range s.upstreams {
		if u.degraded {
			n++
		}
	}
	return n
}

// recordPropagation records how long the records took that an entry puts in force when it goes from one revision to another.
func (c *counters) recordPropagation(now time.Time, from, to revno.Revision) {
	for _, rec := range c.appliedRecords {
		if rec.revision > from && rec.revision <= to {
			c.maxPropagation = max(c.maxPropagation, now.Sub(rec.at))
		}
	}
}

// maxPropagation returns the longest time until a record was in force on an entry.
//
// A record that an entry never put in force counts until the end of the run.
func (s *Sim) maxPropagation() time.Duration {
	longest := s.counters.maxPropagation
	for _, e := range s.entries {
		for _, rec := range s.counters.appliedRecords {
			if rec.revision > e.revision {
				longest = max(longest, s.events.now.Sub(rec.at))
			}
		}
	}
	return longest
}
