package canary_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/traffic/canary"
)

var _ = Describe("Analyzer", func() {
	const runTime = 10 * time.Millisecond
	for _, tc := range []struct {
		name      string
		upstreams int
		// failureRate and slowdown are those of the new version on its first badUpstreams.
		failureRate  float64
		slowdown     float64
		badUpstreams int
		// commonSlowdown is that of both versions in the second half of the test.
		commonSlowdown float64
		want           bool
	}{
		{"accepts a good version", 8, 0, 1, 8, 1, false},
		{"rejects a version that fails", 8, 0.5, 1, 8, 1, true},
		{"rejects a version that is slow", 8, 0, 4, 8, 1, true},
		{"tolerates one slow upstream", 8, 0, 10, 1, 1, false},
		{"tolerates one failing upstream", 8, 1, 1, 1, 1, false},
		{"rejects a failing version with a single upstream", 1, 0.5, 1, 1, 1, true},
		{"tolerates slowness that both versions share", 8, 0, 1, 8, 6, false},
	} {
		It(tc.name, func() {
			for seed := range uint64(20) {
				rnd := rand.New(rand.NewPCG(seed, 0))
				a := canary.New()
				rejected := false
				for i := range 4000 {
					slowdown := 1.0
					if i > 2000 {
						slowdown = tc.commonSlowdown
					}
					took := func(factor float64) time.Duration {
						return time.Duration(factor * float64(runTime) * (0.5 + 0.5*rnd.ExpFloat64()))
					}
					_, bad := a.RecordBaseline("/", tc.upstreams, rnd.Float64() < 0.002, took(slowdown))
					rejected = rejected || bad
					if i%20 != 0 {
						continue
					}
					u := rnd.IntN(tc.upstreams)
					failed := u < tc.badUpstreams && rnd.Float64() < tc.failureRate
					if u < tc.badUpstreams {
						slowdown *= tc.slowdown
					}
					_, bad = a.RecordCanary(string(rune('a'+u)), "/", tc.upstreams, failed, took(slowdown))
					rejected = rejected || bad
				}
				Expect(rejected).To(Equal(tc.want), "seed %d", seed)
			}
		})
	}
})

var _ = Describe("Analyzer with the evidence of several entries", func() {
	for _, tc := range []struct {
		name string
		// first and others are the tallies that each of 20 entries sends for the first and for the other 3 of 4 upstreams.
		first, others tally.Tally
		want          bool
	}{
		{"accepts a good version", tally.Tally{Calls: 3}, tally.Tally{Calls: 3}, false},
		{"rejects a version of which each entry saw a single failure", tally.Tally{Calls: 1, Failures: 1}, tally.Tally{Calls: 1, Failures: 1}, true},
		{"rejects a version that is slow", tally.Tally{Calls: 2, SlowCalls: 2}, tally.Tally{Calls: 2, SlowCalls: 2}, true},
		{"tolerates one failing upstream", tally.Tally{Calls: 3, Failures: 3}, tally.Tally{Calls: 3}, false},
		{"tolerates one slow upstream", tally.Tally{Calls: 3, SlowCalls: 3}, tally.Tally{Calls: 3}, false},
	} {
		It(tc.name, func() {
			a := canary.New()
			bad := false
			for range 20 {
				_, nowBad := a.RecordBaselineTally(tally.Tally{Calls: 1}, 4)
				bad = bad || nowBad
				for u := range 4 {
					t := tc.others
					if u == 0 {
						t = tc.first
					}
					t.Upstream = string(rune('a' + u))
					_, nowBad := a.RecordTally(t, 4)
					bad = bad || nowBad
				}
			}
			Expect(bad).To(Equal(tc.want))
		})
	}
})
