package pool

import (
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// ProbeCandidates draws the version of a call, sets it in c, and returns the upstreams to probe before the call is placed.
//
// probed names the upstreams that were probed for the call already. The targets are the upstreams without a recent report
// that have the lowest predicted time, with some random variation, so that entries with the same reports probe different
// ones. There are none if calls of the service do not probe, if waiting calls go before this one, or if a recent report
// shows a free slot. Where calls need a free place, probes go out also while others wait, which need their reports. If there are no targets, busy reports whether recent reports show that enough upstreams are busy.
func (p *Pool) ProbeCandidates(now time.Time, c *call.Call, probed []string) (targets []*target.Target, busy bool) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	if !p.usesAdmission() || p.hasQueueAhead(c) && !p.room.Guards() {
		return nil, false
	}
	gi := p.groupFor(c)
	c.Version, c.VersionSet = p.groups[gi].version, true
	knownBusy := 0
	for _, r := range p.rankCandidates(now, c, gi, probed) {
		if len(targets) == p.config.Service.ProbesPerCall {
			break
		}
		s := r.upstream
		if now.Sub(s.reportAt) < tune.FreshReportAge {
			if s.hasFreeSlot(p) {
				return nil, false
			}
			knownBusy++
			continue
		}
		if p.takeProbe(now, s) {
			targets = append(targets, s.target)
		}
	}
	return targets, knownBusy >= p.config.Service.ProbesPerCall
}

// hasFreeSlot reports whether, by the last report, the upstream is not slowed down and one more call keeps its load within
// tune.KneeUtilization.
func (s *upstreamState) hasFreeSlot(p *Pool) bool {
	return s.slowdown <= maxGoodSlowdown && float64(max(s.reportedInFlight, s.ownInFlight)+1) <= tune.KneeUtilization*float64(s.slots(p))
}

// AvgRunTime returns the average run time of the calls of the service.
func (p *Pool) AvgRunTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.avgRunTime
}

// rankCandidates returns the upstreams of the group with index gi that may take a call, lowest predicted time first.
//
// It leaves out cold upstreams and returns at most the size of the subset.
func (p *Pool) rankCandidates(now time.Time, c *call.Call, gi int, probed []string) []candidate {
	var ch choice.Choice
	g := &p.groups[gi]
	out := make([]candidate, 0, p.subsetSize(g))
	for _, s := range g.subsetOrder {
		if len(out) == cap(out) {
			break
		}
		load := s.load(p, now)
		if _, ok := p.filter(now, c, probed, s, load, &ch); ok && !s.cold(now) {
			jitter := 1 + probeJitter*(2*p.rand.Float64()-1)
			out = append(out, candidate{upstream: s, score: time.Duration(float64(p.score(now, c, s, load)) * jitter)})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int { return int(a.score - b.score) })
	return out
}

// probeJitter is the largest part by which the predicted time of a candidate is randomly raised or lowered.
const probeJitter = 0.3

// takeProbe takes a probe from this entry's token bucket for an upstream and reports whether there was one.
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

// probers returns the number of entries that probe one upstream: all entries or, if they use subsets of a large service, the
// average.
func (p *Pool) probers() float64 {
	n := float64(max(1, p.config.EntryCount))
	if p.config.Service.ProbesPerCall == 0 || len(p.upstreams) <= tune.SubsetThreshold {
		return n
	}
	size, _ := p.subsetSizes()
	return max(1, n*float64(size)/float64(len(p.upstreams)))
}
