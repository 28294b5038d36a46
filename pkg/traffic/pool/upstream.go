package pool

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/calls/report"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/circ"
	"github.com/balsamvale/balsamvale/pkg/traffic/turns"
	"github.com/balsamvale/balsamvale/pkg/traffic/wallet"
)

// upstreamState is what this entry knows about one upstream.
type upstreamState struct {
	// target is replaced as a whole and never changed, since calls read it without the lock.
	target *target.Target
	// subsetWeight is the rank of the upstream for this entry; the entry prefers the highest.
	subsetWeight uint64
	// ownInFlight is the number of calls of this entry in flight at the upstream.
	ownInFlight int
	// interactiveStarts are the times at which the interactive calls in ownInFlight were sent, the oldest first.
	interactiveStarts []time.Time
	// pickCount is the number of calls that this entry has placed here, for the round-robin policy.
	pickCount int

	// avgRunTime is the moving average of the run time here, as of runTimeAt.
	avgRunTime time.Duration
	runTimeAt  time.Time
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate float64

	// reportedInFlight is the number of calls in flight by the last report, which came at reportAt, and ownAtReport the
	// number of this entry's calls among them; -1 before the first report.
	reportedInFlight int
	ownAtReport      int
	reportAt         time.Time

	// heldUntil are the times until which calls that ended without an answer may still take a place, since the last report.
	heldUntil []time.Time
	// resetAt is when the upstream last broke a connection before the answer, unless a report or a failed dial has told why.
	resetAt time.Time
	// unheard is the number of this entry's calls in flight that the upstream has lost by its reports.
	unheard int

	// keptConn is set once the upstream kept a connection open; consecutiveCloses counts the last answers
	// in a row with which it closed one.
	keptConn          bool
	consecutiveCloses int

	incarnation uint64
	// startedAt is the last known start of the upstream.
	startedAt  time.Time
	coldUntil  time.Time
	drainUntil time.Time
	// pausedUntil is when the pause ends for which the upstream wants nothing from this entry.
	pausedUntil time.Time
	// leaving is set once this incarnation has said that it is leaving.
	leaving bool
	breaker circ.Breaker
	wallet  wallet.Wallet
	// nextColdCall is the earliest time of this entry's next call to the upstream while that is cold, if its service has a
	// cold rate.
	nextColdCall time.Time
	// slowdown is the last slowdown that the upstream reported, as a factor; 0 without one.
	slowdown float64
	// probeTokens is the number of probes left in this entry's token bucket for the upstream, as of probedAt.
	probeTokens float64
	probedAt    time.Time
	// turns divides the limit that the upstream names among the entries. limitNamedAt is when an answer last named one.
	turns        turns.Turns
	limitNamedAt time.Time
	// dialFailed is set from a failed dial until the next answer that is not a failure, or until a restart is announced.
	dialFailed bool
}

// install applies the target of a new configuration.
func (s *upstreamState) install(p *Pool, t *target.Target) {
	old := s.target
	s.target = t
	if old == nil {
		old = &target.Target{}
		s.subsetWeight = p.subsetWeight(t.Name)
		s.avgRunTime = p.avgRunTime
		s.ownAtReport = -1
	}
	if t.Upstream.Incarnation != 0 {
		s.applyAnnouncement(p, t)
		return
	}
	known := t.Incarnation != 0 && t.Incarnation == s.incarnation
	if t.ColdUntil.After(s.coldUntil) && !known && !t.ColdUntil.Equal(old.ColdUntil) {
		s.coldUntil = t.ColdUntil
		if t.Incarnation != 0 {
			s.incarnation, s.startedAt = t.Incarnation, t.ColdUntil.Add(-p.config.Service.Warmup)
		}
	}
}

// markColdUntil marks the upstream cold until a time. If it was not cold before and its service has a cold rate, the first
// calls of all entries are spread over the interval between two calls of one entry.
func (s *upstreamState) markColdUntil(p *Pool, until time.Time) {
	if !s.cold(p.now) && p.config.Service.ColdRate > 0 {
		entries := float64(max(1, p.config.EntryCount))
		offset := math.Mod(float64(p.config.EntryRank)/entries+float64(xxhash.Sum64String(s.target.Name)%coldOffsetSteps)/coldOffsetSteps, 1)
		s.nextColdCall = p.now.Add(time.Duration(offset * float64(p.coldCallInterval())))
	}
	s.coldUntil = until
}

// coldOffsetSteps is the number of offsets over which upstreams are spread by name, so that the same entry does not go first
// at every upstream.
const coldOffsetSteps = 1024

// reserveColdCall uses up this entry's turn to send one call to a cold upstream.
func (s *upstreamState) reserveColdCall(p *Pool, now time.Time) {
	s.nextColdCall = now.Add(p.coldCallInterval())
}

// coldCallInterval returns the time between two calls of this entry to a cold upstream, at which all entries together keep
// to the cold rate.
func (p *Pool) coldCallInterval() time.Duration {
	return time.Second * time.Duration(max(1, p.config.EntryCount)) / time.Duration(max(1, p.config.Service.ColdRate))
}

// slots returns the number of calls that the upstream runs at once.
func (s *upstreamState) slots(p *Pool) int {
	if s.target.Slots > 0 {
		return s.target.Slots
	}
	return p.config.Service.Slots
}

func (s *upstreamState) available() bool { return s.target.Available() }

func (s *upstreamState) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// coldCallAllowed reports whether a call may go to the cold upstream: if this entry's turn at the cold rate has come, or,
// where the service has no cold rate, if there is a credit. Without a credit, an interactive call counts as demand for one;
// a bulk call never gets one.
func (s *upstreamState) coldCallAllowed(p *Pool, now time.Time, c *call.Call) bool {
	if p.config.Service.ColdRate > 0 {
		return !now.Before(s.nextColdCall)
	}
	if c.Class == class.Bulk {
		return false
	}
	if s.wallet.Has(now, s.requiredCreditLife(p, now, c)+tune.CreditMargin) {
		return true
	}
	s.wallet.Miss()
	return false
}

// requiredCreditLife returns how long a credit must stay valid for a call: the time left to the call, at most the timeout of
// the service, and for an idempotent call at most half of the life of a credit.
func (s *upstreamState) requiredCreditLife(p *Pool, now time.Time, c *call.Call) time.Duration {
	left := min(p.config.Service.Timeout, c.TimeLeft(now, p.config.Service.Timeout))
	if c.Idempotent {
		return min(left, tune.CreditTTL/2)
	}
	return left
}

// reserve counts a call as in flight at the upstream.
func (s *upstreamState) reserve(now time.Time, bulk bool) {
	s.ownInFlight++
	s.pickCount++
	if !bulk {
		s.interactiveStarts = append(s.interactiveStarts, now)
	}
}

// release ends a call that reserve counted and marks its credit, if any, to be returned.
func (s *upstreamState) release(ch *choice.Choice) {
	s.ownInFlight = max(0, s.ownInFlight-1)
	if i := slices.Index(s.interactiveStarts, ch.At); i >= 0 {
		s.interactiveStarts = slices.Delete(s.interactiveStarts, i, i+1)
	}
	s.unheard = min(s.unheard, len(s.interactiveStarts))
	if ch.CreditID != 0 {
		s.wallet.Return(ch.CreditID)
	}
}

// load predicts the number of calls at the upstream: those of this entry, and those of other entries by the last report,
// which approach the average as the report ages.
func (s *upstreamState) load(p *Pool, now time.Time) float64 {
	if p.room.Guards() {
		return float64(s.ownInFlight+s.placesHeld(now)) + p.room.Others(s.reportedOthers(), s.reportAge(now), p.reportDecay())
	}
	if s.reportAt.IsZero() {
		return float64(s.ownInFlight) + p.avgOtherLoad
	}
	w := decayWeight(now.Sub(s.reportAt), p.reportDecay())
	others := float64(s.reportedOthers())
	return float64(s.ownInFlight) + w*others + (1-w)*p.avgOtherLoad
}

// reportAge returns the age of the last report; negative without one.
func (s *upstreamState) reportAge(now time.Time) time.Duration {
	if s.reportAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportAt)
}

// reportDecay returns the time in which the weight of a report falls to about 1/e.
func (p *Pool) reportDecay() time.Duration {
	if p.config.Service.ProbesPerCall > 0 {
		return tune.ReportDecayRuns * p.avgRunTime
	}
	return tune.ReportDecay
}

// decayWeight approximates exp(-age/unit) by the reciprocal of the first terms of the series of exp(age/unit), at a third of
// the cost.
func decayWeight(age, unit time.Duration) float64 {
	if age >= maxDecayUnits*unit {
		return 0
	}
	x := float64(age) / float64(unit)
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}

// maxDecayUnits is the age, in units of decayWeight, from which the weight is 0.
const maxDecayUnits = 6

// predictedSlowdown predicts the slowdown of the upstream, a factor, from its last report and the average of the service.
func (s *upstreamState) predictedSlowdown(p *Pool, now time.Time) float64 {
	if s.slowdown == 0 {
		return p.avgSlowdown
	}
	w := decayWeight(now.Sub(s.reportAt), tune.SlowdownDecay)
	return p.avgSlowdown + w*(s.slowdown-p.avgSlowdown)
}

// runTime predicts how long a call runs, before the slowdown is applied: from earlier answers, from the oldest interactive
// call in flight if that is overdue, and from the failure rate.
func (s *upstreamState) runTime(p *Pool, now time.Time) time.Duration {
	w := decayWeight(now.Sub(s.runTimeAt), tune.RunTimeDecay)
	run := p.avgRunTime + time.Duration(w*float64(s.avgRunTime-p.avgRunTime))
	if len(s.interactiveStarts) > 0 {
		run = max(run, now.Sub(s.interactiveStarts[0])/tune.OverdueFactor)
	}
	if s.failureRate > 0 {
		run = time.Duration(float64(run) / max(1-s.failureRate, minSuccessRate))
	}
	return run
}

// minSuccessRate is the lowest success rate that runTime divides by, which bounds how far failures raise the prediction.
const minSuccessRate = 0.05

// recordResult updates the state of the upstream from the result of an attempt.
func (s *upstreamState) recordResult(p *Pool, now time.Time, ch *choice.Choice, r *result.Result) {
	if r.Report != nil {
		s.recordReport(p, now, r.Report, true)
		s.ownAtReport = s.ownInFlight - 1
	}
	if r.Cause != cause.None && r.Cause != cause.Shed && r.Cause != cause.Error {
		// Without an answer, the upstream is taken to run the call still, so its credit is not returned but has to expire.
		ch.CreditID = 0
	}
	s.recordRoom(p, now, ch, r)
	s.recordStatement(p, now, ch.At, r)
	s.trackConnClose(p, now, r)
	p.recordCanary(now, s, ch, r)
	switch r.Cause {
	case cause.Canceled:
		s.breaker.Cancel()
		s.observeCanceled(p, now, ch)
	case cause.DialFailed:
		s.dialFailed = true
		s.breaker.Open(now)
	case cause.Shed:
		s.breaker.Cancel()
		if r.WrongInstance {
			s.breaker.Open(now)
		}
		s.failureRate += tune.FailureRateWeight * (1 - s.failureRate)
	case cause.None:
		s.breaker.Succeed()
		s.markRecovered(p, now)
		s.failureRate -= tune.FailureRateWeight * s.failureRate
		if !ch.Bulk && !ch.At.Before(p.resumedAt) {
			p.work.Observe(ch.Route, s.observeRunTime(p, now, r.Latency))
		}
	default:
		s.breaker.Fail(now)
		s.failureRate += tune.FailureRateWeight * (1 - s.failureRate)
	}
}

// markRecovered marks an upstream that answers again after a failed dial as cold, if its service has a cold rate: for the
// whole warm-up, unless its reports say otherwise.
func (s *upstreamState) markRecovered(p *Pool, now time.Time) {
	if !s.dialFailed {
		return
	}
	s.dialFailed = false
	if p.config.Service.ColdRate > 0 {
		s.markColdUntil(p, now.Add(p.config.Service.Warmup))
		s.reserveColdCall(p, now)
	}
}

// observeCanceled takes the time that a canceled call was given as a run time if that, less the round trip, exceeds the
// average of the upstream, since the call would have taken longer still. It is no run time of its routing rule, whose calls may
// all take longer than the average.
func (s *upstreamState) observeCanceled(p *Pool, now time.Time, ch *choice.Choice) {
	took := now.Sub(ch.At)
	if !ch.Bulk && !ch.At.Before(p.resumedAt) && took-2*s.target.Delay > s.avgRunTime {
		_ = s.observeRunTime(p, now, took)
	}
}

// observeRunTime adds the time that one call took to the average run times, and returns what it took as the run time.
//
// The round trip is subtracted first. If a load report came with the answer, the time is then divided by the slowdown, and
// by the load relative to the slots where that exceeds 1.
func (s *upstreamState) observeRunTime(p *Pool, now time.Time, took time.Duration) time.Duration {
	run := max(0, took-2*s.target.Delay)
	if s.slowdown > 0 && s.reportAt.Equal(now) {
		run = time.Duration(float64(run) / s.slowdown)
	}
	overload := float64(s.reportedInFlight+1) / float64(s.slots(p))
	if overload > 1 && s.reportAt.Equal(now) {
		run = time.Duration(float64(run) / overload)
	}
	w := decayWeight(now.Sub(s.runTimeAt), tune.RunTimeDecay)
	base := p.avgRunTime + time.Duration(w*float64(s.avgRunTime-p.avgRunTime))
	s.avgRunTime = base + time.Duration(tune.AverageWeight*float64(run-base))
	s.runTimeAt = now
	p.runTimeSamples++
	p.avgRunTime += time.Duration(meanWeight(p.runTimeSamples) * float64(run-p.avgRunTime))
	return run
}

// recordReport updates the state of the upstream from a load report, unless that is nil or of an earlier incarnation.
// It came with the answer to a call if withAnswer is set, and with that to a probe otherwise.
func (s *upstreamState) recordReport(p *Pool, now time.Time, r *report.Report, withAnswer bool) {
	if r == nil {
		return
	}
	if !s.trackIncarnation(p, now, r) {
		return
	}
	s.reportedInFlight, s.ownAtReport, s.reportAt = r.InFlight, s.ownInFlight, now
	s.recordReportedRoom(p, now, withAnswer)
	if r.Slowdown > 0 {
		s.slowdown = r.Slowdown
		p.slowdownSamples++
		p.avgSlowdown += meanWeight(p.slowdownSamples) * (r.Slowdown - p.avgSlowdown)
	}
	if r.WarmupLeft > 0 && p.config.Service.ColdRate > 0 {
		s.markColdUntil(p, now.Add(r.WarmupLeft))
	}
	p.avgOtherLoad += tune.AverageWeight / float64(len(p.upstreams)) * (float64(max(0, s.reportedInFlight-s.ownAtReport)) - p.avgOtherLoad)
	if r.Draining {
		s.startDraining(p, now)
	}
}

// startDraining keeps new work away from the upstream for tune.DrainTTL and tells the other entries, unless it is draining
// already.
func (s *upstreamState) startDraining(p *Pool, now time.Time) {
	if now.Before(s.drainUntil) {
		return
	}
	s.drainUntil = now.Add(tune.DrainTTL)
	p.queueFact(fact.Fact{Topic: topic.Draining, Subject: s.target.Name, Value: s.incarnation, Until: s.drainUntil})
}

// trackConnClose treats an upstream as draining when it used to keep connections open and closes several in a row.
func (s *upstreamState) trackConnClose(p *Pool, now time.Time, r *result.Result) {
	if r.Cause != cause.None {
		return
	}
	if !r.ConnClose {
		s.keptConn, s.consecutiveCloses = true, 0
		return
	}
	s.consecutiveCloses++
	if s.keptConn && s.consecutiveCloses >= tune.DrainCloses {
		s.startDraining(p, now)
	}
}

// merge applies a fact that another entry learned about the upstream.
func (s *upstreamState) merge(p *Pool, now time.Time, f fact.Fact) {
	switch f.Topic {
	case topic.ColdStart:
		if f.Value == s.incarnation || !f.Until.After(now) {
			return
		}
		s.incarnation, s.startedAt = f.Value, f.Until.Add(-p.config.Service.Warmup)
		s.coldUntil = f.Until
		s.wallet.Clear()
	case topic.Draining:
		// A value of 0 means that the incarnation is not known.
		if (f.Value == 0 || s.incarnation == 0 || f.Value == s.incarnation) && f.Until.After(s.drainUntil) {
			s.drainUntil = f.Until
		}
	}
}

// queueFact keeps a fact until unlock passes it on.
func (p *Pool) queueFact(f fact.Fact) { p.facts = append(p.facts, f) }
