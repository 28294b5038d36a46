package pool_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// Urgent calls that all came to a few entries waited there, while the others filled the upstreams with less urgent ones.
var _ = Describe("An entry that loses calls while less urgent ones arrive", func() {
	ask := func(p *pool.Pool, at time.Duration, priority int) choice.Choice {
		c := newCall()
		c.Priority, c.Arrived, c.Deadline = priority, start.Add(at), start.Add(at+time.Second)
		return p.Admit(start.Add(at), c, func(choice.Choice) {})
	}
	newEntry := func(name string) *pool.Pool {
		cfg := newConfig(4)
		cfg.Entry, cfg.Service.ProbesPerCall = name, 3
		return newPool(cfg)
	}
	// report returns the fact of an entry that gets calls of two priorities, or of one, until it refuses some.
	report := func(priorities int) (facts []fact.Fact) {
		p := newEntry("a")
		p.OnFact = func(f fact.Fact) { facts = append(facts, f) }
		for i := range 100 {
			_ = ask(p, time.Duration(i), i%priorities)
		}
		return facts
	}

	It("reports the most urgent priority that it lost", func() {
		facts := report(2)
		Expect(facts).To(HaveLen(1), "one for each gap")
		Expect(facts[0].Topic).To(Equal(topic.Pressure))
		Expect(facts[0].Subject).To(Equal("s"))
		Expect(report(1)).To(BeEmpty(), "calls of one priority")
	})

	for _, tc := range []struct {
		name     string
		fact     fact.Fact
		at       time.Duration
		priority int
		yields   bool
	}{
		{"leaves places free for it", fact.Fact{Value: 0, Origin: "a"}, 0, 1, true},
		{"does not hold back calls of that priority", fact.Fact{Value: 1, Origin: "a"}, 0, 1, false},
		{"uses all places again once the report has expired", fact.Fact{Value: 0, Origin: "a"}, tune.PressureTTL, 1, false},
		{"ignores its own report", fact.Fact{Value: 0, Origin: "b"}, 0, 1, false},
		{"ignores a value that is no priority", fact.Fact{Value: math.MaxUint64, Origin: "a"}, 0, 1, false},
	} {
		It("another entry "+tc.name, func() {
			p := newEntry("b")
			tc.fact.Topic, tc.fact.Subject, tc.fact.Until = topic.Pressure, "s", start.Add(tune.PressureTTL)
			p.Merge(start, tc.fact)
			limit, _ := p.AdmissionStats()
			admitted := 0
			for range limit {
				if ask(p, tc.at, tc.priority).Stage == stage.Probe {
					admitted++
				}
			}
			want := limit
			if tc.yields {
				want -= int(math.Ceil(tune.YieldPart * float64(limit)))
			}
			Expect(admitted).To(Equal(want))
		})
	}
})
