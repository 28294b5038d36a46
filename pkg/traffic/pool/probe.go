package pool

import (
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// ProbeCandidates draws the version of a call and returns the upstreams to ask for their load before it is placed.
//
// before names those that were asked already. They are those with the lowest predicted time, shuffled a little, so that
// entries with the same reports ask different ones. With none to ask, busy reports whether enough are known to be.
func (p *Pool) ProbeCandidates(now time.Time, c *call.Call, before []string) (out []*target.Target, busy bool) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	if !p.usesAdmission() || p.hasQueueAhead(c) {
		return nil, false
	}
	gi := p.groupFor(c)
	c.Version, c.VersionSet = p.groups[gi].version, true
	known := 0
	for _, r := range p.rank(now, c, gi, before) {
		if len(out) == p.config.Service.ProbesPerCall {
			break
		}
		s := r.upstream
		if now.Sub(s.reportAt) < tune.FreshReportAge {
			if s.hasFreeSlot(p) {
				return nil, false
			}
			known++
			continue
		}
		if p.takeProbe(now, s) {
			out = append(out, &s.target)
		}
	}
	return out, known >= p.config.Service.ProbesPerCall
}

// hasFreeSlot reports whether the last report showed a slot below the knee and an undisturbed upstream.
func (s *upstreamState) hasFreeSlot(p *Pool) bool {
	return s.slowdown <= maxGoodSlowdown && float64(max(s.reportedInFlight, s.ownInFlight)+1) <= tune.KneeUtilization*float64(s.slots(p))
}

// AvgRunTime is the average run time of the service's calls.
func (p *Pool) AvgRunTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.avgRunTime
}

// rank orders the upstreams of a group that a call may go to by predicted time.
func (p *Pool) rank(now time.Time, c *call.Call, gi int, before []string) []candidate {
	var ch choice.Choice
	g := &p.groups[gi]
	out := make([]candidate, 0, p.subsetSize(g))
	for _, s := range g.subsetOrder {
		if len(out) == cap(out) {
			break
		}
		load := s.load(p, now)
		if _, ok := p.filter(now, c, before, s, load, &ch); ok && !s.cold(now) {
			spread := 1 + probeJitter*(2*p.rand.Float64()-1)
			out = append(out, candidate{upstream: s, score: time.Duration(float64(p.score(now, c, s, load)) * spread)})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int { return int(a.score - b.score) })
	return out
}

// probeJitter is the part by which the order of candidates is shuffled.
const probeJitter = 0.3

// takeProbe takes a probe from the budget of an upstream.
func (p *Pool) takeProbe(now time.Time, s *upstreamState) bool {
	rate := float64(p.config.Service.ProbeRate) / p.probers()
	s.probeTokens = min(max(1, rate*tune.ProbeBurstWindow.Seconds()), s.probeTokens+rate*now.Sub(s.probedAt).Seconds())
	s.probedAt = now
	if s.probeTokens < 1 {
		return false
	}
	s.probeTokens--
	return true
}

// probers is the number of entries that ask one upstream, as the near sets spread.
func (p *Pool) probers() float64 {
	n := float64(max(1, p.config.EntryCount))
	if p.config.Service.ProbesPerCall == 0 || len(p.ups) <= tune.SubsetThreshold {
		return n
	}
	return max(1, n*tune.SubsetSize/float64(len(p.ups)))
}
