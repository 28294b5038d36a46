package canary_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/traffic/canary"
)

var _ = Describe("Judge", func() {
	const run = 10 * time.Millisecond
	for _, tc := range []struct {
		name      string
		upstreams int
		// fail is the failure rate and factor the slowness of the new version, on its first bad upstreams.
		fail   float64
		factor float64
		bad    int
		common float64
		want   bool
	}{
		{"lets a good version be", 8, 0, 1, 8, 1, false},
		{"convicts one that fails", 8, 0.5, 1, 8, 1, true},
		{"convicts one that is slow", 8, 0, 4, 8, 1, true},
		{"bears one slow upstream", 8, 0, 10, 1, 1, false},
		{"bears one failing upstream", 8, 1, 1, 1, 1, false},
		{"convicts a version with a single upstream", 1, 0.5, 1, 1, 1, true},
		{"bears slowness that both versions share", 8, 0, 1, 8, 6, false},
	} {
		It(tc.name, func() {
			for seed := range uint64(20) {
				rnd := rand.New(rand.NewPCG(seed, 0))
				j := canary.New()
				convicted := false
				for i := range 4000 {
					f := 1.0
					if i > 2000 {
						f = tc.common
					}
					took := func(f float64) time.Duration {
						return time.Duration(f * float64(run) * (0.5 + 0.5*rnd.ExpFloat64()))
					}
					_, bad := j.RecordBaseline("/", tc.upstreams, rnd.Float64() < 0.002, took(f))
					convicted = convicted || bad
					if i%20 != 0 {
						continue
					}
					u := rnd.IntN(tc.upstreams)
					failed := u < tc.bad && rnd.Float64() < tc.fail
					if u < tc.bad {
						f *= tc.factor
					}
					_, bad = j.RecordCanary(string(rune('a'+u)), "/", tc.upstreams, failed, took(f))
					convicted = convicted || bad
				}
				Expect(convicted).To(Equal(tc.want), "seed %d", seed)
			}
		})
	}
})

var _ = Describe("Evidence of several entries", func() {
	const run = 100 * time.Millisecond
	for _, tc := range []struct {
		name string
		// told is what each of 20 entries tells of each of 4 upstreams, the first of which may differ.
		first, others tally.Tally
		want          bool
	}{
		{"lets a good version be", tally.Tally{Calls: 3}, tally.Tally{Calls: 3}, false},
		{"convicts one of which each entry saw a single failure", tally.Tally{Calls: 1, Failures: 1}, tally.Tally{Calls: 1, Failures: 1}, true},
		{"convicts one that is slow", tally.Tally{Calls: 2, SlowCalls: 2}, tally.Tally{Calls: 2, SlowCalls: 2}, true},
		{"bears one failing upstream", tally.Tally{Calls: 3, Failures: 3}, tally.Tally{Calls: 3}, false},
		{"bears one slow upstream", tally.Tally{Calls: 3, SlowCalls: 3}, tally.Tally{Calls: 3}, false},
	} {
		It(tc.name, func() {
			j := canary.New()
			bad := false
			for range 20 {
				_, _ = j.RecordBaseline("r", 4, false, run)
				for u := range 4 {
					t := tc.others
					if u == 0 {
						t = tc.first
					}
					t.Upstream = string(rune('a' + u))
					_, b := j.RecordTally(t, 4)
					bad = bad || b
				}
			}
			Expect(bad).To(Equal(tc.want))
		})
	}
})
