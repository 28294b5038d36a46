package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// orderSubset orders the upstreams of a group by how near they are to this entry, which keeps to the first that take calls,
// so that the number of connections does not grow with the product of entries and upstreams.
//
// Each entry ranks upstreams by a hash of both names, which spreads entries evenly and moves few of them when an
// entry or upstream comes or goes. Most are of the own failure domain; when it is lost, the next in order stand in.
func (p *Pool) orderSubset(members []*upstreamState) []*upstreamState {
	if p.config.Service.ProbesPerCall == 0 || len(members) <= tune.SubsetThreshold {
		return members
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b *upstreamState) int { return cmp.Compare(b.subsetWeight, a.subsetWeight) })
	out := make([]*upstreamState, 0, len(ranked))
	var rest []*upstreamState
	own, far := 0, 0
	for _, s := range ranked {
		switch {
		case s.target.Delay == 0 && own < tune.SubsetLocal:
			own++
		case s.target.Delay > 0 && far < tune.SubsetSize-tune.SubsetLocal:
			far++
		default:
			rest = append(rest, s)
			continue
		}
		out = append(out, s)
	}
	return append(out, rest...)
}

// subsetSize is the number of a group's upstreams that a call is placed among.
func (p *Pool) subsetSize(g *group) int {
	if p.config.Service.ProbesPerCall == 0 || len(g.members) <= tune.SubsetThreshold {
		return len(g.members)
	}
	return tune.SubsetSize
}

// subsetWeight places an upstream among all for this entry.
func (p *Pool) subsetWeight(upstream string) uint64 {
	d := xxhash.NewWithSeed(xxhash.Sum64String(p.config.Entry))
	// Write on a digest never fails.
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
