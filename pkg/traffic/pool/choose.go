package pool

import (
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

const (
	// fullWeight is the weight of a version that gets all calls, in permille.
	fullWeight = 1000
	// minFallbackWeight is the lowest weight, in permille, of a version that may take calls drawn for another version.
	minFallbackWeight = 500
)

// candidate is an upstream that may take a call.
type candidate struct {
	upstream *upstreamState
	// score is the result of Pool.score: the lowest is best.
	score time.Duration
	// load is the predicted number of calls at the upstream.
	load float64
	// trial is set when the call would test an open circuit.
	trial bool
}

// choose picks an upstream and reserves a place there, or returns why there is none.
//
// If the version drawn for the call has no upstream for it, versions with a higher weight of at least minFallbackWeight
// are searched too. stage.Wait means that some upstream is only temporarily unable to take the call.
func (p *Pool) choose(now time.Time, c *call.Call, tried []string) choice.Choice {
	ch := choice.Choice{At: now, Route: c.Route, Bulk: c.Class == class.Bulk}
	first := p.groupFor(c)
	best := p.bestInGroup(now, c, tried, first, &ch)
	for i := range p.groups {
		if best.upstream != nil {
			break
		}
		if i != first && p.groups[i].weight >= minFallbackWeight && p.groups[i].weight > p.groups[first].weight {
			best = p.bestInGroup(now, c, tried, i, &ch)
		}
	}
	if best.upstream == nil {
		return p.refuseIfPaused(now, c, p.noUpstream(ch))
	}
	if best.score > c.TimeLeft(now, best.score) {
		ch.Stage, ch.Reason, ch.PredictedWait = stage.Refuse, reason.Deadline, best.score
		return ch
	}
	return p.reserveCandidate(now, c, best, ch)
}

// refuseIfPaused turns a wait into a refusal if the call's time ends before any upstream that asked for a pause takes calls
// again, and there is no other upstream to wait for.
func (p *Pool) refuseIfPaused(now time.Time, c *call.Call, ch choice.Choice) choice.Choice {
	waitsForOthers := ch.SkippedBusy+ch.SkippedLimited+ch.SkippedCold+ch.SkippedConnLimit+ch.SkippedCircuitOpen > 0
	if ch.Stage != stage.Wait || ch.SkippedPaused == 0 || waitsForOthers {
		return ch
	}
	var first time.Duration
	for _, s := range p.upstreams {
		if left := s.pausedUntil.Sub(now); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	if first > c.TimeLeft(now, first) {
		ch.Stage, ch.Reason, ch.PredictedWait = stage.Refuse, reason.NoUpstream, first
	}
	return ch
}

// noUpstream completes ch with the reason why no upstream was found: stage.Wait if some upstream may take the call later.
func (p *Pool) noUpstream(ch choice.Choice) choice.Choice {
	ch.Stage, ch.Reason = stage.Refuse, reason.NoUpstream
	switch {
	case ch.SkippedBusy+ch.SkippedPaused+ch.SkippedLimited+ch.SkippedCold+ch.SkippedConnLimit+ch.SkippedCircuitOpen > 0:
		ch.Stage, ch.Reason = stage.Wait, reason.AtCapacity
	case ch.SkippedTried > 0:
		ch.Reason = reason.RetryLimit
	}
	return ch
}

// reserveCandidate reserves a place for the call at the best candidate and completes ch.
//
// A call to a cold upstream also uses this entry's turn at the cold rate, or a credit where the service has no cold rate.
func (p *Pool) reserveCandidate(now time.Time, c *call.Call, best candidate, ch choice.Choice) choice.Choice {
	s := best.upstream
	s.turns.Use(now, p.config.EntryRank, p.config.EntryCount)
	ch.Stage, ch.Reason, ch.Target, ch.PredictedWait = stage.Send, reason.LowestWait, s.target, best.score
	ch.Load, ch.Slowdown, ch.ReportAge, ch.Free = best.load, s.predictedSlowdown(p, now), s.reportAge(now), s.freePlaces(p, now)
	if p.policy == policy.LeastPredictedWait {
		ch.HedgeDelay = max(tune.MinHedgeDelay, time.Duration(tune.HedgeDelayFactor*float64(best.score)))
	}
	if best.trial {
		ch.Reason = reason.CircuitTrial
		s.breaker.StartTrial()
	}
	if s.cold(now) {
		if p.config.Service.ColdRate > 0 {
			s.reserveColdCall(p, now)
			ch.Reason = reason.ColdCredit
			s.reserve(now, ch.Bulk)
			return ch
		}
		cr, ok := s.wallet.Take(now, s.requiredCreditLife(p, now, c)+tune.CreditMargin)
		if !ok {
			return p.noUpstream(choice.Choice{At: now, SkippedCold: 1})
		}
		ch.Reason, ch.CreditID, ch.CreditUntil = reason.ColdCredit, cr.ID, cr.Until.Add(-tune.CreditMargin)
	}
	s.reserve(now, ch.Bulk)
	return ch
}

// groupFor returns the index of the version group that was drawn for the call before, if it still has a weight, or draws one.
func (p *Pool) groupFor(c *call.Call) int {
	if c.VersionSet {
		for i := range p.groups {
			if p.groups[i].version == c.Version && p.groups[i].weight > 0 {
				return i
			}
		}
	}
	return p.drawGroup()
}

// drawGroup returns the index of a version group that is drawn at random by weight.
func (p *Pool) drawGroup() int {
	if len(p.groups) < 2 {
		return 0
	}
	total := 0
	for i := range p.groups {
		total += p.groups[i].weight
	}
	if total == 0 {
		return 0
	}
	n := p.rand.IntN(total)
	for i := range p.groups {
		if n -= p.groups[i].weight; n < 0 {
			return i
		}
	}
	return 0
}

// bestInGroup returns the best upstream of the group with index gi; candidate.upstream is nil if none may take the call.
//
// In a group larger than its subset, it compares the first upstreams of subsetOrder that may take the call. Otherwise it
// compares a random sample, and takes the first of the rest that may take the call if none of the sample does.
func (p *Pool) bestInGroup(now time.Time, c *call.Call, tried []string, gi int, ch *choice.Choice) candidate {
	if gi >= len(p.groups) {
		return candidate{}
	}
	g := &p.groups[gi]
	ch.SkippedUnavailable += g.total - len(g.members)
	var best candidate
	n := len(g.members)
	if n == 0 {
		return candidate{}
	}
	if left := p.subsetSize(g); left < n {
		for _, s := range g.subsetOrder {
			if p.consider(now, c, tried, s, &best, ch) {
				left--
			}
			if left == 0 {
				break
			}
		}
		return best
	}
	k := p.sampleSize(n)
	for i := range k {
		j := i + p.rand.IntN(n-i)
		g.members[i], g.members[j] = g.members[j], g.members[i]
		p.consider(now, c, tried, g.members[i], &best, ch)
	}
	for i := k; i < n && best.upstream == nil; i++ {
		p.consider(now, c, tried, g.members[i], &best, ch)
	}
	return best
}

// sampleSize returns how many of n upstreams the policy compares.
func (p *Pool) sampleSize(n int) int {
	switch p.policy {
	case policy.Random:
		return 1
	case policy.TwoChoices:
		return min(n, 2)
	case policy.RoundRobin, policy.LeastInFlight:
		return n
	}
	return min(n, tune.SampleSize)
}

// consider replaces best by the upstream if that has a lower score, and reports whether the upstream may take the call.
func (p *Pool) consider(now time.Time, c *call.Call, tried []string, s *upstreamState, best *candidate, ch *choice.Choice) bool {
	load := 0.0
	if p.policy == policy.LeastPredictedWait {
		load = s.load(p, now)
	}
	trial, ok := p.filter(now, c, tried, s, load, ch)
	if !ok {
		return false
	}
	score := p.score(now, c, s, load)
	if best.upstream == nil || score < best.score {
		*best = candidate{s, score, load, trial}
	}
	return true
}

// filter reports whether an upstream may take a call, and whether the call would be the trial of an open circuit.
//
// The conditions are checked in order; the first that fails is counted in ch.
func (p *Pool) filter(now time.Time, c *call.Call, tried []string, s *upstreamState, load float64, ch *choice.Choice) (trial, ok bool) {
	if slices.Contains(tried, s.target.Name) {
		ch.SkippedTried++
		return false, false
	}
	if now.Before(s.drainUntil) {
		ch.SkippedDraining++
		return false, false
	}
	if s.cold(now) && !s.coldCallAllowed(p, now, c) {
		ch.SkippedCold++
		return false, false
	}
	if now.Before(s.pausedUntil) {
		ch.SkippedPaused++
		return false, false
	}
	if !s.turns.Open(now, p.config.EntryRank, p.config.EntryCount) {
		ch.SkippedLimited++
		return false, false
	}
	pass, trial := s.breaker.Allows(now)
	if !pass {
		ch.SkippedCircuitOpen++
		return false, false
	}
	if s.ownInFlight >= p.connLimit() {
		ch.SkippedConnLimit++
		return false, false
	}
	if p.atCapacity(now, c, s, load) {
		ch.SkippedBusy++
		return false, false
	}
	return trial, true
}

// connLimit returns this entry's part of the connections that an upstream accepts, at least 1.
func (p *Pool) connLimit() int {
	return max(1, p.config.Service.Conns/max(1, p.config.EntryCount))
}

// atCapacity reports whether an upstream has as much work as it should get from calls of this class: all slots and
// tune.MaxBacklog more for interactive calls, all slots but one for bulk calls. Where calls without room are lost, interactive
// calls need a free place.
func (p *Pool) atCapacity(now time.Time, c *call.Call, s *upstreamState, load float64) bool {
	if p.policy != policy.LeastPredictedWait {
		return false
	}
	if c.Class == class.Interactive && p.room.Guards() {
		return s.freePlaces(p, now) < 1
	}
	limit := s.slots(p) + tune.MaxBacklog
	if c.Class == class.Bulk {
		limit = max(1, s.slots(p)-1)
	}
	return int(load) >= limit
}

// score returns the predicted time until the upstream answers or, for policies other than LeastPredictedWait, a plain number.
// The lowest is best.
func (p *Pool) score(now time.Time, c *call.Call, s *upstreamState, load float64) time.Duration {
	switch p.policy {
	case policy.Random:
		return 0
	case policy.RoundRobin:
		return time.Duration(s.pickCount)
	case policy.LeastInFlight, policy.TwoChoices:
		return time.Duration(s.ownInFlight)
	}
	run := time.Duration(float64(s.runTime(p, now)) * s.predictedSlowdown(p, now))
	slots := float64(s.slots(p))
	wait := max(0, load+1-slots)
	ahead := wait/slots + tieBreakWeight*load/slots
	if p.config.Service.ProbesPerCall > 0 && load+1 > tune.KneeUtilization*slots {
		ahead += tune.KneeSlowdown
	}
	return run + time.Duration(ahead*float64(run)) + p.domainCost(c, s)
}

// domainCost returns the cost, as time, of sending a call to the failure domain of the upstream: the round trip and,
// where calls probe, the transfer of the request and of an answer of assumed size.
func (p *Pool) domainCost(c *call.Call, s *upstreamState) time.Duration {
	if s.target.Delay == 0 {
		return 0
	}
	d := 2 * s.target.Delay
	if p.config.Service.ProbesPerCall > 0 {
		d += time.Duration(float64(p.avgRunTime) * float64(c.BodyBytes+tune.AssumedResponseBytes) / tune.CrossDomainBytes)
	}
	return d
}

// tieBreakWeight is the part of a run time that a load equal to the slots adds to the score. It spreads calls over
// upstreams that are all predicted to have a free slot.
const tieBreakWeight = 0.25
