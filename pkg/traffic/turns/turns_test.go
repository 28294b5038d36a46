package turns_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/traffic/turns"
)

// Load pattern: entries of which some have calls all the time and others now and then share the limit of an upstream. Guards
// against a sum over the entries that exceeds it, whatever their number and whenever they use their shares.
var _ = Describe("The calls of all entries under a limit", func() {
	const (
		window = 4 * time.Second
		// factor and slack are what the operators tolerate in a window.
		factor = 1.5
		slack  = 5
	)
	for _, entries := range []int{1, 4, 12, 17, 109, 473} {
		for _, limit := range []float64{0.5, 2.6, 6.8, 9.2, 40, 150} {
			It(fmt.Sprintf("keep to %g calls a second from %d entries", limit, entries), func() {
				for _, demand := range []struct {
					name string
					// gap returns the time from one try of an entry to the next.
					gap func(rnd *rand.Rand) time.Duration
				}{
					{"all the time", func(*rand.Rand) time.Duration { return 5 * time.Millisecond }},
					{"now and then", func(rnd *rand.Rand) time.Duration {
						return time.Duration(rnd.ExpFloat64() * float64(700*time.Millisecond))
					}},
					{"all at the same moments", func(*rand.Rand) time.Duration { return 3700 * time.Millisecond }},
				} {
					rnd := rand.New(rand.NewPCG(uint64(entries), uint64(limit)))
					start := time.Unix(1000, 0)
					var sent []time.Time
					for rank := range entries {
						var t turns.Turns
						t.SetLimit(limit)
						for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(demand.gap(rnd)) {
							if t.Open(at, rank, entries) {
								t.Use(at, rank, entries)
								sent = append(sent, at)
							}
						}
					}
					slices.SortFunc(sent, time.Time.Compare)
					first, most := 0, 0
					for i, at := range sent {
						for at.Sub(sent[first]) >= window {
							first++
						}
						most = max(most, i-first+1)
					}
					Expect(float64(most)).To(BeNumerically("<=", factor*limit*window.Seconds()+slack), demand.name)
					if demand.name == "all the time" {
						Expect(float64(len(sent))).To(BeNumerically(">=", 0.9*limit*20-1), "the limit is used")
					}
				}
			})
		}
	}

	It("ends with the limit", func() {
		var t turns.Turns
		now := time.Unix(1000, 0)
		t.SetLimit(0.001)
		Expect(t.Limit()).To(BeNumerically(">", 0.001), "an upstream that takes nothing is asked again all the same")
		t.SetLimit(0)
		for range 3 {
			Expect(t.Open(now, 0, 1)).To(BeTrue())
			t.Use(now, 0, 1)
		}
	})
})
