package pool

import (
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Candidates draws the version of a call and returns the upstreams to ask for their load before it is placed.
//
// before names those that were asked already. They are those with the lowest predicted time, shuffled a little, so that entries with the same reports ask different ones.
func (p *Pool) Candidates(now time.Time, c *call.Call, before []string) []*target.Target {
	p.mu.Lock()
	defer p.unlock()
	now = p.step(now)
	if p.fleet == nil || p.fleet.Service.Ask == 0 || p.behind(c) {
		return nil
	}
	gi := p.drawn(c)
	c.Version, c.Drawn = p.groups[gi].version, true
	ranked := p.rank(now, c, gi, before)
	var out []*target.Target
	for i := range ranked {
		if len(out) == p.fleet.Service.Ask {
			break
		}
		if s := ranked[i].server; p.mayAsk(now, s) {
			out = append(out, &s.target)
		}
	}
	return out
}

// rank orders the upstreams of a group that a call may go to by predicted time.
func (p *Pool) rank(now time.Time, c *call.Call, gi int, before []string) []candidate {
	var ch choice.Choice
	g := &p.groups[gi]
	out := make([]candidate, 0, len(g.near))
	for _, s := range g.near {
		load := s.load(p, now)
		if _, ok := p.admit(now, c, before, s, load, &ch); ok && !s.cold(now) {
			spread := 1 + askSpread*(2*p.rand.Float64()-1)
			out = append(out, candidate{server: s, score: time.Duration(float64(p.score(now, c, s, load)) * spread)})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int { return int(a.score - b.score) })
	return out
}

// askSpread is the part by which the order of candidates is shuffled.
const askSpread = 0.3

// mayAsk takes a probe from the budget of an upstream, unless its load is known well enough.
func (p *Pool) mayAsk(now time.Time, s *server) bool {
	if now.Sub(s.heardAt) < tune.AskFresh {
		return false
	}
	rate := float64(p.fleet.Service.Budget) / p.askers()
	s.probes = min(max(1, rate*tune.AskSpan.Seconds()), s.probes+rate*now.Sub(s.probedAt).Seconds())
	s.probedAt = now
	if s.probes < 1 {
		return false
	}
	s.probes--
	return true
}

// askers is the number of entries that ask one upstream, as the near sets spread.
func (p *Pool) askers() float64 {
	n := float64(max(1, p.fleet.Entries))
	if p.fleet.Service.Ask == 0 || len(p.ups) <= tune.NearFrom {
		return n
	}
	return max(1, n*tune.NearMost/float64(len(p.ups)))
}
