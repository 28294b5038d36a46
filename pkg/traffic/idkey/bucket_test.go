package idkey_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/bind"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/ledger"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/traffic/idkey"
)

// fakeStore is a single store key with compare-and-swap.
type fakeStore struct {
	revision revno.Revision
	value    ledger.Ledger
}

// restore brings back an older state in a new era.
func (s *fakeStore) restore(copied fakeStore) {
	s.revision, s.value = revno.New(s.revision.Era()+1, copied.revision.Number()), copied.value
}

// swap is a swap that arrives at the store, which compares numbers only.
func (s *fakeStore) swap(expect revno.Revision, value ledger.Ledger) bool {
	if s.revision.Number() != expect.Number() {
		return false
	}
	s.revision++
	s.value = value
	return true
}

// settle carries out what a bucket plans until nothing is left to do at the given time.
func (s *fakeStore) settle(b *idkey.Bucket, now time.Time) {
	for range 10 {
		op, value, expect, ok := b.Plan(now)
		switch {
		case !ok:
			return
		case op == kvop.Get:
			b.GetDone(now, s.revision, s.value)
		case s.swap(expect, value):
			b.SwapDone(s.revision)
		default:
			b.Invalidate()
		}
	}
}

var _ = Describe("Bucket", func() {
	for _, tc := range []struct {
		name string
		seed uint64
		// Percentages of swaps whose responses are lost, of swaps that take effect late, and of calls that do not run.
		lostPercent, latePercent, notRunPercent int
		// restores is the number of times that the store comes back from a copy of 0 to 2 s before, and restarts that of entries that
		// start anew then.
		restores, restarts int
	}{
		{"with a healthy store", 1, 0, 0, 0, 0, 0},
		{"with lost responses", 2, 30, 0, 0, 0, 0},
		{"with swaps that take effect late", 3, 0, 30, 0, 0, 0},
		{"with calls that complete as not run", 4, 10, 10, 50, 0, 0},
		{"with all of these faults", 5, 20, 20, 20, 0, 0},
		{"with a store that comes back from an older copy", 6, 0, 0, 0, 3, 0},
		{"with a store that comes back from an older copy, late swaps and restarts", 7, 20, 20, 20, 3, 2},
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
			copied, copiedAt := *store, 0
			for i := range 20_000 {
				now = now.Add(time.Millisecond)
				if i%2000 == 0 {
					copied, copiedAt = *store, i
				}
				// The keys are in doubt for tune.ClaimTTL afterwards, so the store is restored late.
				if tc.restores > 0 && i >= 12_000 && i == copiedAt+1_999 && i < 12_000+tc.restores*2000 {
					store.restore(copied)
					for n := range tc.restarts {
						buckets[n] = idkey.New(fmt.Sprint("entry-", n, "-", i))
					}
				}
				b := buckets[rnd.IntN(len(buckets))]
				if rnd.IntN(10) == 0 {
					attempt++
					a, key := attempt, uint64(rnd.IntN(400))+1
					if tc.restores > 0 {
						// New keys come up all the time, so that some are claimed first in the seconds that are lost.
						key += uint64(i / 20)
					}
					c := claim.Claim{Key: key, Binding: bind.Binding{Account: 1}, Attempt: a, Until: now.Add(time.Hour)}
					b.Claim(c, func(r dedup.Result, _ claim.Claim) {
						if r != dedup.Acquired {
							return
						}
						Expect(ran[key]).To(BeZero(), "key %d", key)
						if rnd.IntN(100) < tc.notRunPercent {
							c.State = state.NotRun
							b.Complete(now, c)
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
					b.GetDone(now, store.revision, store.value)
				case rnd.IntN(100) < tc.latePercent:
					lateSwaps = append(lateSwaps, func() { store.swap(expect, value) })
					b.Invalidate()
				case expect.Era() != store.revision.Era():
					// The client of the store hears the era in the response, if it has not known it before.
					store.swap(expect, value)
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

	// A version that does not know bindings drops them from each claim of a bucket that it writes, also from those of others.
	for _, tc := range []struct {
		name  string
		state state.State
		want  dedup.Result
	}{
		{"the key of a call that did not run is free", state.NotRun, dedup.Acquired},
		{"a saved answer is given to nobody, and nothing runs", state.Answered, dedup.Unknown},
		{"a call that may have run keeps its key", state.Unknown, dedup.Unknown},
	} {
		It("reads a claim without a binding: "+tc.name, func() {
			now := time.Unix(1000, 0)
			held := claim.Claim{Key: 7, Owner: "older", Attempt: 1, State: tc.state, Until: now.Add(time.Hour), Answer: answer.Answer{Status: 200, Body: []byte("x")}}
			store := &fakeStore{revision: 1, value: ledger.Ledger{Claims: []claim.Claim{held}}}
			b := idkey.New("entry")
			for _, bound := range []bind.Binding{{Account: 1, Method: 1, URI: 1, Body: 1}, {Account: 2, Method: 1, URI: 1, Body: 1}} {
				var got []dedup.Result
				b.Claim(claim.Claim{Key: 7, Binding: bound, Attempt: 2, Until: now.Add(time.Hour)}, func(r dedup.Result, _ claim.Claim) { got = append(got, r) })
				store.settle(b, now)
				Expect(got).To(Equal([]dedup.Result{tc.want}))
			}
		})
	}

	It("completes its own claim after another version dropped the binding", func() {
		now := time.Unix(1000, 0)
		store := &fakeStore{}
		b := idkey.New("entry")
		bound := bind.Binding{Account: 1, Method: 1, URI: 1, Body: 1}
		c := claim.Claim{Key: 7, Binding: bound, Attempt: 1, Until: now.Add(time.Hour)}
		b.Claim(c, func(r dedup.Result, _ claim.Claim) { Expect(r).To(Equal(dedup.Acquired)) })
		store.settle(b, now)
		Expect(store.value.Claims).To(HaveLen(1))
		store.revision++
		store.value.Claims[0].Binding = bind.Binding{}
		b.Invalidate()
		c.State, c.Answer = state.Answered, answer.Answer{Status: 200}
		b.Complete(now, c)
		store.settle(b, now.Add(time.Second))
		Expect(store.value.Claims).To(HaveLen(1))
		Expect(store.value.Claims[0].Binding).To(Equal(bound))
		Expect(store.value.Claims[0].State).To(Equal(state.Answered))
	})

	It("keeps the claims of two accounts with one key apart", func() {
		now := time.Unix(1000, 0)
		store := &fakeStore{}
		b := idkey.New("entry")
		for account := uint64(1); account <= 2; account++ {
			c := claim.Claim{Key: 7, Binding: bind.Binding{Account: account, Method: 1, URI: 1, Body: 1}, Attempt: account, Until: now.Add(time.Hour)}
			var got []dedup.Result
			b.Claim(c, func(r dedup.Result, _ claim.Claim) { got = append(got, r) })
			store.settle(b, now)
			Expect(got).To(Equal([]dedup.Result{dedup.Acquired}))
		}
		Expect(store.value.Claims).To(HaveLen(2))
	})
})
