package shard

import (
	"github.com/cespare/xxhash/v2"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Shard is one part of the duties.
type Shard int

// Of returns the shard that a name belongs to.
func Of(name string) Shard {
	return Shard(xxhash.Sum64String(name) % tune.ShardCount)
}

// First returns the member with the highest rendezvous weight for the shard, or "" without members.
func (s Shard) First(members []string) string {
	best, top := "", uint64(0)
	for _, m := range members {
		if w := weight(s, m); best == "" || w > top {
			best, top = m, w
		}
	}
	return best
}

// Rank returns the place of a member in the shard's order; 0 is first.
func (s Shard) Rank(members []string, name string) int {
	own, rank := weight(s, name), 0
	for _, m := range members {
		if m != name && weight(s, m) > own {
			rank++
		}
	}
	return rank
}

func weight(s Shard, member string) uint64 {
	d := xxhash.NewWithSeed(uint64(s) + 1)
	// Write on a digest never fails.
	_, _ = d.WriteString(member)
	return d.Sum64()
}
