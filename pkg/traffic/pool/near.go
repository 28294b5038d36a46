package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// nearest picks the upstreams that this entry keeps connections to, so that their number does not grow with the
// product of entries and upstreams.
//
// Each entry ranks upstreams by a hash of both names, which spreads entries evenly and moves few of them when an
// entry or upstream comes or goes. Most are of the own failure domain; the others stand by for its loss.
func (p *Pool) nearest(members []*server) []*server {
	if p.fleet.Service.Ask == 0 || len(members) <= tune.NearFrom {
		return members
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b *server) int { return cmp.Compare(p.weight(b), p.weight(a)) })
	out := make([]*server, 0, tune.NearMost)
	for _, s := range ranked {
		if s.target.Delay == 0 && len(out) < tune.NearOwn {
			out = append(out, s)
		}
	}
	for _, s := range ranked {
		if s.target.Delay > 0 && len(out) < tune.NearMost {
			out = append(out, s)
		}
	}
	return out
}

// weight ranks an upstream for this entry.
func (p *Pool) weight(s *server) uint64 {
	d := xxhash.NewWithSeed(xxhash.Sum64String(p.fleet.Entry))
	// Write on a digest never fails.
	_, _ = d.WriteString(s.target.Name)
	return d.Sum64()
}
