package idkey_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/bind"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/idkey"
)

// A claim that the store lost must not count as that of a call that has not run: the call would run twice.
var _ = Describe("A claim that the store has lost", func() {
	// waits is the result of a duplicate that waits for the end of the call.
	const waits = dedup.Result(-1)
	start := time.Unix(1000, 0)
	bound := bind.Binding{Account: 1, Method: 1, URI: 1, Body: 1}
	c := func(key, attempt uint64) claim.Claim {
		return claim.Claim{Key: key, Binding: bound, Attempt: attempt, Until: start.Add(time.Hour)}
	}
	ask := func(s *fakeStore, b *idkey.Bucket, now time.Time, attempt uint64) (got dedup.Result) {
		got = waits
		b.Claim(c(7, attempt), func(r dedup.Result, _ claim.Claim) { got = r })
		s.settle(b, now)
		return got
	}
	for _, tc := range []struct {
		name string
		// complete is set if the call ends before the duplicate comes.
		complete bool
		// asks is the bucket that the duplicate comes to: that of the entry that ran the call, of one that knew the bucket before, or of
		// one that starts afterwards.
		asks string
		wait time.Duration
		want dedup.Result
	}{
		{"fails at an entry that starts afterwards", false, "new", time.Second, dedup.Unavailable},
		{"fails at an entry that knew the bucket before it was made", false, "other", time.Second, dedup.Unavailable},
		{"does not let its own entry run the call again", false, "owner", time.Second, waits},
		{"tells the response of its call once that has completed", true, "new", time.Second, dedup.Answered},
		{"fails until it would have expired", false, "new", tune.ClaimTTL - time.Second, dedup.Unavailable},
		{"does not count for longer", false, "new", tune.ClaimTTL + time.Second, dedup.Acquired},
	} {
		It(tc.name, func() {
			s := &fakeStore{}
			buckets := map[string]*idkey.Bucket{"owner": idkey.New("a"), "other": idkey.New("b"), "new": idkey.New("c")}
			first := c(8, 1)
			buckets["other"].Claim(first, func(dedup.Result, claim.Claim) {})
			s.settle(buckets["other"], start)
			copied := *s
			Expect(ask(s, buckets["owner"], start, 2)).To(Equal(dedup.Acquired))
			s.restore(copied)
			// Another call lets all of them hear of the era.
			marked := idkey.New("d")
			marked.Claim(c(9, 3), func(r dedup.Result, _ claim.Claim) { Expect(r).To(Equal(dedup.Unavailable)) })
			s.settle(marked, start)
			Expect(s.value.Era).To(Equal(int64(1)))
			if tc.complete {
				done := c(7, 2)
				done.State, done.Answer = state.Answered, answer.Answer{Status: 200}
				buckets["owner"].Complete(start, done)
				buckets["owner"].Invalidate()
				s.settle(buckets["owner"], start.Add(time.Second))
			}
			b := buckets[tc.asks]
			b.Invalidate()
			Expect(ask(s, b, start.Add(tc.wait), 4)).To(Equal(tc.want))
		})
	}
})
