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

// fakeStore is a single store key with compare-and-swap.
type fakeStore struct {
	revision int64
	value    []claim.Claim
}

func (s *fakeStore) swap(expect int64, value []claim.Claim) bool {
	if s.revision != expect {
		return false
	}
	s.revision++
	s.value = value
	return true
}

var _ = Describe("Bucket", func() {
	for _, tc := range []struct {
		name string
		seed uint64
		// Percentages of swaps whose responses are lost, of swaps that take effect late, and of calls that do not run.
		lostPercent, latePercent, notRunPercent int
	}{
		{"with a healthy store", 1, 0, 0, 0},
		{"with lost responses", 2, 30, 0, 0},
		{"with swaps that take effect late", 3, 0, 30, 0},
		{"with calls that complete as not run", 4, 10, 10, 50},
		{"with all of these faults", 5, 20, 20, 20},
	} {
		// Each call that acquires a key either completes as not run or keeps the key for an hour, so no key may be acquired
		// again after a call has run.
		It("runs at most one call per key "+tc.name, func() {
			rnd := rand.New(rand.NewPCG(tc.seed, 0))
			now := time.Unix(1000, 0)
			store := &fakeStore{}
			var buckets []*idkey.Bucket
			for i := range 4 {
				buckets = append(buckets, idkey.New(fmt.Sprint("entry-", i)))
			}
			ran := map[uint64]int{}
			var lateSwaps []func()
			attempt := uint64(0)
			for range 20_000 {
				now = now.Add(time.Millisecond)
				b := buckets[rnd.IntN(len(buckets))]
				if rnd.IntN(10) == 0 {
					attempt++
					a, key := attempt, uint64(rnd.IntN(400))+1
					b.Claim(key, a, now.Add(time.Hour), func(r dedup.Result, _ answer.Answer) {
						if r != dedup.Acquired {
							return
						}
						Expect(ran[key]).To(BeZero(), "key %d", key)
						if rnd.IntN(100) < tc.notRunPercent {
							b.Complete(now, key, a, state.NotRun, answer.Answer{})
							return
						}
						ran[key]++
					})
				}
				if len(lateSwaps) > 0 && rnd.IntN(3) == 0 {
					lateSwaps[0]()
					lateSwaps = lateSwaps[1:]
				}
				op, value, expect, ok := b.Plan(now)
				switch {
				case !ok:
				case op == kvop.Get:
					b.GetDone(store.revision, store.value)
				case rnd.IntN(100) < tc.latePercent:
					lateSwaps = append(lateSwaps, func() { store.swap(expect, value) })
					b.Invalidate()
				case !store.swap(expect, value):
					b.Invalidate()
				case rnd.IntN(100) < tc.lostPercent:
					b.Invalidate()
				default:
					b.SwapDone(store.revision)
				}
			}
			Expect(len(ran)).To(BeNumerically(">", 200))
		})
	}
})
