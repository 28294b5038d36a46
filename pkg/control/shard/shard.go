package shard

import (
	"github.com/cespare/xxhash/v2"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Shard is the number of a shard, from 0 to tune.ShardCount-1.
//
// The names of upstreams and services are divided among the shards by hash.
type Shard int

// Of returns the shard that a name belongs to.
func Of(name string) Shard {
	return Shard(xxhash.Sum64String(name) % tune.ShardCount)
}

// First returns the member with the highest rendezvous weight for the shard, or "" if there are no members.
func (s Shard) First(members []string) string {
	best, bestWeight := "", uint64(0)
	for _, m := range members {
		if w := weight(s, m); best == "" || w > bestWeight {
			best, bestWeight = m, w
		}
	}
	return best
}

// Rank returns the number of members whose rendezvous weight for the shard is higher than that of name; 0 is first.
//
// The name need not be among the members.
func (s Shard) Rank(members []string, name string) int {
	own, rank := weight(s, name), 0
	for _, m := range members {
		if m != name && weight(s, m) > own {
			rank++
		}
	}
	return rank
}

// weight returns the rendezvous weight of a member for a shard.
func weight(s Shard, member string) uint64 {
	d := xxhash.NewWithSeed(uint64(s) + 1)
	// WriteString of a Digest never returns an error.
	_, _ = d.WriteString(member)
	return d.Sum64()
}
