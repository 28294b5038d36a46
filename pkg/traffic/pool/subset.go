package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// orderSubset returns the upstreams of a group in the order in which this entry prefers them. The entry uses the first that
// take calls, so that the number of connections does not grow with the product of entries and upstreams.
//
// Each entry ranks the upstreams by a hash of both names (rendezvous hashing), which spreads the entries evenly and moves
// few of them when an entry or an upstream is added or removed. Most of the first upstreams are in the entry's own failure
// domain; when that is lost, the next in the order replace them.
//
// Where calls do not probe, and in a group of up to tune.SubsetThreshold upstreams, the order is left as it is.
func (p *Pool) orderSubset(members []*upstreamState) []*upstreamState {
	if p.config.Service.ProbesPerCall == 0 || len(members) <= tune.SubsetThreshold {
		return members
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b *upstreamState) int { return cmp.Compare(b.subsetWeight, a.subsetWeight) })
	size, localSize := p.subsetSizes()
	out := make([]*upstreamState, 0, len(ranked))
	var rest []*upstreamState
	local, remote := 0, 0
	for _, s := range ranked {
		switch {
		case s.target.Delay == 0 && local < localSize:
			local++
		case s.target.Delay > 0 && remote < size-localSize:
			remote++
		default:
			rest = append(rest, s)
			continue
		}
		out = append(out, s)
	}
	return append(out, rest...)
}

// subsetSize returns the number of upstreams of a group among which calls are placed.
func (p *Pool) subsetSize(g *group) int {
	if p.config.Service.ProbesPerCall == 0 || len(g.members) <= tune.SubsetThreshold {
		return len(g.members)
	}
	size, _ := p.subsetSizes()
	return size
}

// subsetSizes returns the number of upstreams of a subset, and how many of them may be in the entry's own failure domain.
//
// Where entries share upstreams of few slots, small subsets load the upstreams that many entries happen to prefer with a multiple
// of the mean, so that subsets are large enough for tune.SharedSubsetEntries entries to send to each upstream.
func (p *Pool) subsetSizes() (size, local int) {
	size = tune.SubsetSize
	if p.shared {
		size = min(max(size, tune.SharedSubsetEntries*len(p.upstreams)/p.config.EntryCount), tune.SubsetThreshold)
	}
	return size, size - (tune.SubsetSize - tune.SubsetLocal)
}

// sharesUpstreams reports whether, in a large fleet, many more entries send to an upstream than it has slots.
func (p *Pool) sharesUpstreams() bool {
	entries := float64(p.config.EntryCount)
	if len(p.upstreams) > tune.SubsetThreshold {
		entries *= tune.SubsetSize / float64(len(p.upstreams))
	}
	return p.config.EntryCount >= tune.SharedStartEntries && entries > tune.SharedSlotEntries*float64(p.typicalSlots())
}

// subsetWeight returns the rank of an upstream for this entry, a hash of both names; the highest come first.
func (p *Pool) subsetWeight(upstream string) uint64 {
	d := xxhash.NewWithSeed(xxhash.Sum64String(p.config.Entry))
	// WriteString on a digest never fails.
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
