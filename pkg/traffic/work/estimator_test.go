package work_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/traffic/work"
)

const mean = 200 * time.Millisecond

// kind is a number of calls of a rule, whose run times are exponentially distributed if varied is set.
type kind struct {
	rule   string
	run    time.Duration
	calls  int
	varied bool
}

// A single mean for the service made calls of 64 ms look hopeless for a target of 200 ms beside calls of 400 ms.
var _ = Describe("Estimator", func() {
	for _, tc := range []struct {
		name  string
		kinds []kind
		want  map[string]time.Duration
	}{
		{"tells apart rules of clearly different work", []kind{{"a", 64 * time.Millisecond, 10, false}, {"b", 400 * time.Millisecond, 10, false}},
			map[string]time.Duration{"a": 64 * time.Millisecond, "b": 400 * time.Millisecond, "new": mean}},
		{"uses the mean of the service for rules of like work", []kind{{"a", 180 * time.Millisecond, 10, false}, {"b", 220 * time.Millisecond, 10, false}},
			map[string]time.Duration{"a": mean, "b": mean}},
		{"uses the mean of the service for a rule with few calls", []kind{{"a", 64 * time.Millisecond, 10, false}, {"b", 400 * time.Millisecond, 10, false}, {"c", time.Second, 2, false}},
			map[string]time.Duration{"c": mean}},
		{"uses the mean of the service where one rule has all calls", []kind{{"a", 64 * time.Millisecond, 100, false}}, map[string]time.Duration{"a": mean}},
		{"does not take chance for different work", []kind{{"a", mean, 12, true}, {"b", mean, 12, true}, {"c", mean, 12, true}},
			map[string]time.Duration{"a": mean, "b": mean, "c": mean}},
	} {
		It(tc.name, func() {
			for seed := range uint64(20) {
				e, rnd := &work.Estimator{}, rand.New(rand.NewPCG(seed, 1))
				for _, k := range tc.kinds {
					for range k.calls {
						run := k.run
						if k.varied {
							run = time.Duration(rnd.ExpFloat64() * float64(k.run))
						}
						e.Observe(k.rule, run)
					}
				}
				for rule, want := range tc.want {
					Expect(e.RunTime(rule, mean)).To(BeNumerically("~", want, time.Microsecond), "rule %s, seed %d", rule, seed)
				}
			}
		})
	}

	It("forgets the rule that was not called for longest, so that changed configurations do not fill it", func() {
		e := &work.Estimator{}
		for range 10 {
			e.Observe("old", 64*time.Millisecond)
		}
		for i := range 1000 {
			for range 10 {
				e.Observe("long", 400*time.Millisecond)
				e.Observe(fmt.Sprint(i), 100*time.Millisecond)
			}
		}
		Expect(e.RunTime("old", mean)).To(Equal(mean))
		Expect(e.RunTime("long", mean)).To(BeNumerically("~", 400*time.Millisecond, time.Microsecond))
	})
})
