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
	// fullShare is the weight of a version that gets all calls, in thousandths.
	fullShare = 1000
	// minFallbackWeight is the weight from which a version may stand in for another.
	minFallbackWeight = 500
)

// candidate is the best upstream found so far.
type candidate struct {
	upstream *upstreamState
	score    time.Duration
	load     float64
	trial    bool
}

// choose picks an upstream or says why there is none; Wait means that all are busy.
func (p *Pool) choose(now time.Time, c *call.Call, tried []string) choice.Choice {
	ch := choice.Choice{At: now, Route: c.Route, Bulk: c.Class == class.Bulk}
	first := p.groupFor(c)
	best := p.search(now, c, tried, first, &ch)
	for i := range p.groups {
		if best.upstream != nil {
			break
		}
		if i != first && p.groups[i].weight >= minFallbackWeight && p.groups[i].weight > p.groups[first].weight {
			best = p.search(now, c, tried, i, &ch)
		}
	}
	if best.upstream == nil {
		return p.noUpstream(ch)
	}
	if best.score > c.TimeLeft(now, best.score) {
		ch.Stage, ch.Reason, ch.PredictedWait = stage.Refuse, reason.Deadline, best.score
		return ch
	}
	return p.send(now, c, best, ch)
}

// noUpstream explains why no upstream was found.
func (p *Pool) noUpstream(ch choice.Choice) choice.Choice {
	ch.Stage, ch.Reason = stage.Refuse, reason.NoUpstream
	switch {
	case ch.SkippedBusy+ch.SkippedCold+ch.SkippedConnLimit+ch.SkippedCircuitOpen > 0:
		ch.Stage, ch.Reason = stage.Wait, reason.AtCapacity
	case ch.SkippedTried > 0:
		ch.Reason = reason.RetryLimit
	}
	return ch
}

// send reserves the best candidate.
func (p *Pool) send(now time.Time, c *call.Call, best candidate, ch choice.Choice) choice.Choice {
	s := best.upstream
	ch.Stage, ch.Reason, ch.Target, ch.PredictedWait = stage.Send, reason.LowestWait, &s.target, best.score
	ch.Load, ch.Slowdown, ch.ReportAge = best.load, s.predictedSlowdown(p, now), s.age(now)
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

// groupFor returns the version group that was drawn for a call before, or draws one.
func (p *Pool) groupFor(c *call.Call) int {
	if c.VersionSet {
		for i := range p.groups {
			if p.groups[i].version == c.Version && p.groups[i].weight > 0 {
				return i
			}
		}
	}
	return p.draw()
}

// draw picks a version group by weight.
func (p *Pool) draw() int {
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

// search looks for the best upstream of one group: among the near ones, in a sample, then among all.
func (p *Pool) search(now time.Time, c *call.Call, tried []string, gi int, ch *choice.Choice) candidate {
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
	if most := p.subsetSize(g); most < n {
		for _, s := range g.subsetOrder {
			if p.consider(now, c, tried, s, &best, ch) {
				most--
			}
			if most == 0 {
				break
			}
		}
		return best
	}
	k := p.sample(n)
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

// sample returns how many upstreams the policy compares.
func (p *Pool) sample(n int) int {
	switch p.policy {
	case policy.Random:
		return 1
	case policy.TwoChoices:
		return min(n, 2)
	case policy.RoundRobin, policy.LeastInFlight:
		return n
	}
	return min(n, tune.Sample)
}

// consider compares one upstream with the best so far, and reports whether it takes the call.
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

// filter applies the filters in order and counts what they stop.
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
	pass, trial := s.breaker.Allows(now)
	if !pass {
		ch.SkippedCircuitOpen++
		return false, false
	}
	if s.ownInFlight >= p.connLimit() {
		ch.SkippedConnLimit++
		return false, false
	}
	if p.full(c, s, load) {
		ch.SkippedBusy++
		return false, false
	}
	return trial, true
}

// connLimit is this entry's part of the connections that an upstream takes.
func (p *Pool) connLimit() int {
	return max(1, p.config.Service.Conns/max(1, p.config.EntryCount))
}

// full reports whether an upstream has as much work as it should get from calls of this class.
func (p *Pool) full(c *call.Call, s *upstreamState, load float64) bool {
	if p.policy != policy.LeastPredictedWait {
		return false
	}
	limit := s.slots(p) + tune.Backlog
	if c.Class == class.Bulk {
		limit = max(1, s.slots(p)-1)
	}
	return int(load) >= limit
}

// score predicts the time until an upstream answers, or ranks it as the policy does.
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
	ahead := wait/slots + tieBreak*load/slots
	if p.config.Service.ProbesPerCall > 0 && load+1 > tune.KneeUtilization*slots {
		ahead += tune.KneeSlowdown
	}
	return run + time.Duration(ahead*float64(run)) + p.domainCost(c, s)
}

// domainCost is what it costs to send a call to the upstream's failure domain, as time.
func (p *Pool) domainCost(c *call.Call, s *upstreamState) time.Duration {
	if s.target.Delay == 0 {
		return 0
	}
	d := 2 * s.target.Delay
	if p.config.Service.ProbesPerCall > 0 {
		d += time.Duration(float64(p.avgRunTime) * float64(c.BodyBytes+tune.AnswerBytes) / tune.CrossDomainBytes)
	}
	return d
}

// tieBreak spreads calls over upstreams that are all predicted to have a free slot.
const tieBreak = 0.25
