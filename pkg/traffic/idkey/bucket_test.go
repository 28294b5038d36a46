package idkey_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/traffic/idkey"
)

// fakeStore is a store key whose swaps may take effect late, or get their answers lost.
type fakeStore struct {
	revision int64
	value    []claim.Claim
}

func (c *fakeStore) swap(expect int64, value []claim.Claim) bool {
	if c.revision != expect {
		return false
	}
	c.revision++
	c.value = value
	return true
}

var _ = Describe("Bucket", func() {
	for _, tc := range []struct {
		name           string
		seed           uint64
		lose, late, no int
	}{
		{"with a faultless store", 1, 0, 0, 0},
		{"with lost answers", 2, 30, 0, 0},
		{"with writes that land late", 3, 0, 30, 0},
		{"with entries that settle as not run", 4, 10, 10, 50},
		{"with all of it", 5, 20, 20, 20},
	} {
		It("grants a key to one running call at most, "+tc.name, func() {
			rnd := rand.New(rand.NewPCG(tc.seed, 0))
			now := time.Unix(1000, 0)
			store := &fakeStore{}
			var buckets []*idkey.Bucket
			for i := range 4 {
				buckets = append(buckets, idkey.New(fmt.Sprint("entry-", i)))
			}
			ran := map[uint64]int{}
			var late []func()
			attempt := uint64(0)
			for range 20_000 {
				now = now.Add(time.Millisecond)
				b := buckets[rnd.IntN(len(buckets))]
				if rnd.IntN(10) == 0 {
					attempt++
					a, key := attempt, uint64(rnd.IntN(400))+1
					b.Claim(key, a, now.Add(time.Hour), func(g dedup.Result, _ answer.Answer) {
						if g != dedup.Acquired {
							return
						}
						Expect(ran[key]).To(BeZero(), "key %d", key)
						if rnd.IntN(100) < tc.no {
							b.Complete(now, key, a, state.NotRun, answer.Answer{})
							return
						}
						ran[key]++
					})
				}
				if len(late) > 0 && rnd.IntN(3) == 0 {
					late[0]()
					late = late[1:]
				}
				v, value, expect, ok := b.Plan(now)
				switch {
				case !ok:
				case v == kvop.Get:
					b.GetDone(store.revision, store.value)
				case rnd.IntN(100) < tc.late:
					late = append(late, func() { store.swap(expect, value) })
					b.Invalidate()
				case !store.swap(expect, value):
					b.Invalidate()
				case rnd.IntN(100) < tc.lose:
					b.Invalidate()
				default:
					b.SwapDone(store.revision)
				}
			}
			Expect(len(ran)).To(BeNumerically(">", 200))
		})
	}
})
