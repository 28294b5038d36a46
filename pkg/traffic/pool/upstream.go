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
	"github.com/balsamvale/balsamvale/pkg/traffic/wallet"
)

// upstreamState is what this entry knows of one upstream.
type upstreamState struct {
	target target.Target
	// subsetWeight is its place among all for this entry; the highest are near.
	subsetWeight uint64
	// ownInFlight is the number of this entry's calls in flight.
	ownInFlight int
	// interactiveStarts are the times at which the interactive ones among them were sent.
	interactiveStarts []time.Time
	pickCount         int

	avgRunTime time.Duration
	runAt      time.Time
	failRate   float64

	// reportedInFlight and busyOwn are from the last report, and heardAt is its time.
	reportedInFlight int
	ownAtReport      int
	reportAt         time.Time

	// kept is set once the upstream kept a connection open; closes counts those that it closed since.
	kept   bool
	closes int

	incarnation uint64
	started     time.Time
	coldUntil   time.Time
	drainUntil  time.Time
	breaker     circ.Breaker
	wallet      wallet.Wallet
	// nextColdCall is the earliest time of this entry's next call to the upstream while it is cold, when its service has a rate.
	nextColdCall time.Time
	// slowdown is the upstream's own word on how long work takes, as a multiple of the usual.
	slowdown float64
	// probeTokens is what is left of this entry's probes of the upstream, as of probedAt.
	probeTokens float64
	probedAt    time.Time
	// dialFailed is set when a connection could not be opened, until an answer comes.
	dialFailed bool
}

func (s *upstreamState) install(p *Pool, t *target.Target) {
	if s.target.Name == "" {
		s.subsetWeight = p.subsetWeight(t.Name)
		s.avgRunTime = p.avgRunTime
		s.ownAtReport = -1
	}
	if t.Upstream.Incarnation != 0 {
		s.applyAnnouncement(p, t)
		return
	}
	known := t.Incarnation != 0 && t.Incarnation == s.incarnation
	if t.ColdUntil.After(s.coldUntil) && !known && !t.ColdUntil.Equal(s.target.ColdUntil) {
		s.coldUntil = t.ColdUntil
		if t.Incarnation != 0 {
			s.incarnation, s.started = t.Incarnation, t.ColdUntil.Add(-p.config.Service.Warmup)
		}
	}
	s.target = *t
}

// applyAnnouncement takes over what an upstream says of itself through the store.
func (s *upstreamState) applyAnnouncement(p *Pool, t *target.Target) {
	if t.Upstream.Incarnation != s.incarnation {
		s.incarnation = t.Upstream.Incarnation
		s.breaker.Succeed()
		s.dialFailed, s.failRate, s.coldUntil = false, 0, time.Time{}
	}
	if t.ColdUntil.After(s.coldUntil) {
		s.markColdUntil(p, t.ColdUntil)
	}
	s.target = *t
}

// markColdUntil marks the upstream cold, and spreads the first calls of all entries over the time between two of one entry.
func (s *upstreamState) markColdUntil(p *Pool, until time.Time) {
	if !s.cold(p.now) && p.config.Service.ColdRate > 0 {
		n := float64(max(1, p.config.EntryCount))
		shift := math.Mod(float64(p.config.EntryRank)/n+float64(xxhash.Sum64String(s.target.Name)%coldOffsets)/coldOffsets, 1)
		s.nextColdCall = p.now.Add(time.Duration(shift * float64(p.coldCallInterval())))
	}
	s.coldUntil = until
}

// coldOffsets is the number of offsets that upstreams spread over, so that entries do not take turns in one order everywhere.
const coldOffsets = 1024

// reserveColdCall books the place of one call to a cold upstream.
func (s *upstreamState) reserveColdCall(p *Pool, now time.Time) {
	s.nextColdCall = now.Add(p.coldCallInterval())
}

// coldCallInterval is the time between two calls of this entry to a cold upstream, so that all entries together keep to its rate.
func (p *Pool) coldCallInterval() time.Duration {
	return time.Second * time.Duration(max(1, p.config.EntryCount)) / time.Duration(max(1, p.config.Service.ColdRate))
}

// slots is the number of calls that the upstream runs at once.
func (s *upstreamState) slots(p *Pool) int {
	if s.target.Slots > 0 {
		return s.target.Slots
	}
	return p.config.Service.Slots
}

func (s *upstreamState) available() bool { return s.target.Available() }

func (s *upstreamState) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// coldCallAllowed reports whether a call may go to the cold upstream, and counts the demand if not.
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

// requiredCreditLife is how long a credit must stay valid for a call.
func (s *upstreamState) requiredCreditLife(p *Pool, now time.Time, c *call.Call) time.Duration {
	left := min(p.config.Service.Timeout, c.TimeLeft(now, p.config.Service.Timeout))
	if c.Idempotent {
		return min(left, tune.CreditTTL/2)
	}
	return left
}

func (s *upstreamState) reserve(now time.Time, bulk bool) {
	s.ownInFlight++
	s.pickCount++
	if !bulk {
		s.interactiveStarts = append(s.interactiveStarts, now)
	}
}

func (s *upstreamState) release(ch *choice.Choice) {
	s.ownInFlight = max(0, s.ownInFlight-1)
	if i := slices.Index(s.interactiveStarts, ch.At); i >= 0 {
		s.interactiveStarts = slices.Delete(s.interactiveStarts, i, i+1)
	}
	if ch.CreditID != 0 {
		s.wallet.Return(ch.CreditID)
	}
}

// load predicts the calls at the upstream: own ones, and others' by the age of the last report.
func (s *upstreamState) load(p *Pool, now time.Time) float64 {
	if s.reportAt.IsZero() {
		return float64(s.ownInFlight) + p.avgOtherLoad
	}
	w := decayWeight(now.Sub(s.reportAt), p.reportDecay())
	seen := float64(max(0, s.reportedInFlight-s.ownAtReport))
	return float64(s.ownInFlight) + w*seen + (1-w)*p.avgOtherLoad
}

// age is that of the last report, or negative without one.
func (s *upstreamState) age(now time.Time) time.Duration {
	if s.reportAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportAt)
}

// reportDecay is the time in which a report loses its weight.
func (p *Pool) reportDecay() time.Duration {
	if p.config.Service.ProbesPerCall > 0 {
		return tune.ReportDecayRuns * p.avgRunTime
	}
	return tune.ReportDecay
}

// decayWeight approximates exp(-age/unit) by the reciprocal of its series, at a third of the cost.
func decayWeight(age, unit time.Duration) float64 {
	if age >= maxDecayAge*unit {
		return 0
	}
	x := float64(age) / float64(unit)
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}

// maxDecayAge is the age in units at which nothing is left.
const maxDecayAge = 6

// predictedSlowdown predicts how much longer than usual work takes at the upstream, from its last word and the average.
func (s *upstreamState) predictedSlowdown(p *Pool, now time.Time) float64 {
	if s.slowdown == 0 {
		return p.avgSlowdown
	}
	w := decayWeight(now.Sub(s.reportAt), tune.SlowdownDecay)
	return p.avgSlowdown + w*(s.slowdown-p.avgSlowdown)
}

// runTime predicts how long a call runs, from answers and from calls that are overdue.
func (s *upstreamState) runTime(p *Pool, now time.Time) time.Duration {
	w := decayWeight(now.Sub(s.runAt), tune.RunTimeDecay)
	run := p.avgRunTime + time.Duration(w*float64(s.avgRunTime-p.avgRunTime))
	if len(s.interactiveStarts) > 0 {
		run = max(run, now.Sub(s.interactiveStarts[0])/tune.Overdue)
	}
	if s.failRate > 0 {
		run = time.Duration(float64(run) / max(1-s.failRate, minSuccess))
	}
	return run
}

// minSuccess bounds how far failures can raise the predicted run time.
const minSuccess = 0.05

// recordResult takes in the end of an attempt.
func (s *upstreamState) recordResult(p *Pool, now time.Time, ch *choice.Choice, r *result.Result) {
	if r.Report != nil {
		s.recordReport(p, now, r.Report)
		s.ownAtReport = s.ownInFlight - 1
	}
	if r.Cause != cause.None && r.Cause != cause.Shed && r.Cause != cause.Error {
		// The upstream may still run the call, so its credit has to lapse by itself.
		ch.CreditID = 0
	}
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
		s.failRate += tune.FailureRateWeight * (1 - s.failRate)
	case cause.None:
		s.breaker.Succeed()
		s.recovered(p, now)
		s.failRate -= tune.FailureRateWeight * s.failRate
		if !ch.Bulk && !ch.At.Before(p.resumed) {
			s.observe(p, now, r.Latency)
		}
	default:
		s.breaker.Fail(now)
		s.failRate += tune.FailureRateWeight * (1 - s.failRate)
	}
}

// recovered takes an upstream that answers after it was down as cold until it says otherwise.
func (s *upstreamState) recovered(p *Pool, now time.Time) {
	if !s.dialFailed {
		return
	}
	s.dialFailed = false
	if p.config.Service.ColdRate > 0 {
		s.markColdUntil(p, now.Add(p.config.Service.Warmup))
		s.reserveColdCall(p, now)
	}
}

// observeCanceled learns from a call that was given up: it would have taken longer than it was given.
func (s *upstreamState) observeCanceled(p *Pool, now time.Time, ch *choice.Choice) {
	took := now.Sub(ch.At)
	if !ch.Bulk && !ch.At.Before(p.resumed) && took-2*s.target.Delay > s.avgRunTime {
		s.observe(p, now, took)
	}
}

// observe takes the time of one answer into the averages.
func (s *upstreamState) observe(p *Pool, now time.Time, took time.Duration) {
	run := max(0, took-2*s.target.Delay)
	if s.slowdown > 0 && s.reportAt.Equal(now) {
		run = time.Duration(float64(run) / s.slowdown)
	}
	over := float64(s.reportedInFlight+1) / float64(s.slots(p))
	if over > 1 && s.reportAt.Equal(now) {
		run = time.Duration(float64(run) / over)
	}
	w := decayWeight(now.Sub(s.runAt), tune.RunTimeDecay)
	base := p.avgRunTime + time.Duration(w*float64(s.avgRunTime-p.avgRunTime))
	s.avgRunTime = base + time.Duration(tune.AverageWeight*float64(run-base))
	s.runAt = now
	p.runs++
	p.avgRunTime += time.Duration(meanWeight(p.runs) * float64(run-p.avgRunTime))
}

// recordReport takes in a load report.
func (s *upstreamState) recordReport(p *Pool, now time.Time, r *report.Report) {
	if r == nil {
		return
	}
	if !s.identify(p, now, r) {
		return
	}
	s.reportedInFlight, s.ownAtReport, s.reportAt = r.InFlight, s.ownInFlight, now
	if r.Slowdown > 0 {
		s.slowdown = r.Slowdown
		p.slowdownSamples++
		p.avgSlowdown += meanWeight(p.slowdownSamples) * (r.Slowdown - p.avgSlowdown)
	}
	if r.WarmupLeft > 0 && p.config.Service.ColdRate > 0 {
		s.markColdUntil(p, now.Add(r.WarmupLeft))
	}
	p.avgOtherLoad += tune.AverageWeight / float64(len(p.ups)) * (float64(max(0, s.reportedInFlight-s.ownAtReport)) - p.avgOtherLoad)
	if r.Draining {
		s.startDraining(p, now)
	}
}

// startDraining keeps new work away for a while, and tells the other entries.
func (s *upstreamState) startDraining(p *Pool, now time.Time) {
	if now.Before(s.drainUntil) {
		return
	}
	s.drainUntil = now.Add(tune.DrainTTL)
	p.queueFact(fact.Fact{Topic: topic.Draining, Subject: s.target.Name, Until: s.drainUntil})
}

// trackConnClose takes it as leaving when an upstream that kept connections closes several in a row.
func (s *upstreamState) trackConnClose(p *Pool, now time.Time, r *result.Result) {
	if r.Cause != cause.None {
		return
	}
	if !r.ConnClose {
		s.kept, s.closes = true, 0
		return
	}
	s.closes++
	if s.kept && s.closes >= tune.DrainCloses {
		s.startDraining(p, now)
	}
}

// identify follows the start identity, and reports whether the report is of the current start.
func (s *upstreamState) identify(p *Pool, now time.Time, r *report.Report) bool {
	if r.Incarnation == 0 {
		return true
	}
	started := now.Add(-r.Uptime)
	if r.Incarnation != s.incarnation {
		if s.incarnation != 0 && started.Before(s.started) {
			return false
		}
		known := s.incarnation != 0
		s.incarnation, s.started = r.Incarnation, started
		s.wallet.Clear()
		if known || s.cold(now) || r.Cold {
			s.markCold(p, now, r)
		}
		return true
	}
	if r.Cold && !s.cold(now) {
		s.markCold(p, now, r)
	}
	if !r.Cold && r.Uptime >= p.config.Service.Warmup {
		s.coldUntil = time.Time{}
	}
	return true
}

// markCold marks the upstream cold for the rest of its warm-up and tells the other entries.
func (s *upstreamState) markCold(p *Pool, now time.Time, r *report.Report) {
	left := p.config.Service.Warmup - r.Uptime
	if r.Cold {
		left = max(left, p.config.Service.Warmup/2)
	}
	if left <= 0 {
		s.coldUntil = time.Time{}
		return
	}
	s.coldUntil = now.Add(left)
	p.queueFact(fact.Fact{Topic: topic.ColdStart, Subject: s.target.Name, Value: s.incarnation, Until: s.coldUntil})
}

// merge takes in another entry's news.
func (s *upstreamState) merge(p *Pool, now time.Time, f fact.Fact) {
	switch f.Topic {
	case topic.ColdStart:
		if f.Value == s.incarnation || !f.Until.After(now) {
			return
		}
		s.incarnation, s.started = f.Value, f.Until.Add(-p.config.Service.Warmup)
		s.coldUntil = f.Until
		s.wallet.Clear()
	case topic.Draining:
		s.drainUntil = f.Until
	}
}

// queueFact keeps news until the lock is given back.
func (p *Pool) queueFact(f fact.Fact) { p.facts = append(p.facts, f) }
