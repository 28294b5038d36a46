package gossip_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/gossip"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Guards against a peer that never gets some of the facts when there are more than one message holds, for instance after the loss of
// many upstreams, and against important news that wait behind them.
var _ = Describe("The news for a peer", func() {
	const limit = 64
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name  string
		facts int
		// held is the number of facts that the peer has sent itself.
		held int
		// messages is the number of messages until the peer has all.
		messages int
	}{
		{"fit one message", limit, 0, 1},
		{"leave out what it has sent", limit + 10, 10, 1},
		{"are none if it has sent all", 5, 5, 0},
		{"take several messages", 10 * limit, 0, 19},
	} {
		It(tc.name, func() {
			t := gossip.New(100)
			for i := range tc.facts {
				f := fact.Fact{Topic: topic.Draining, Subject: fmt.Sprint(i), Until: now.Add(time.Minute + time.Duration(i))}
				Expect(t.Add(now, f)).To(BeTrue())
				if i < tc.held {
					t.HeldBy(f, "p")
				}
			}
			got := map[string]bool{}
			above, messages := uint64(0), 0
			for {
				facts, upto := t.News(now, "p", above, limit)
				if upto == 0 {
					break
				}
				if messages == 0 && len(facts) == limit {
					Expect(facts[0].Subject).To(Equal(fmt.Sprint(tc.facts-1)), "the fact that lasts longest")
				}
				Expect(len(facts)).To(BeNumerically("<=", limit))
				for _, f := range facts {
					got[f.Subject] = true
				}
				above = upto
				messages++
			}
			Expect(got).To(HaveLen(tc.facts - tc.held))
			Expect(messages).To(Equal(tc.messages))
			t.Forget("p")
			facts, _ := t.News(now, "p", 0, 1000)
			Expect(facts).To(HaveLen(tc.facts))
		})
	}
})

var now = time.Unix(1000, 0)

func pressure(priority uint64, left time.Duration) fact.Fact {
	return fact.Fact{Topic: topic.Pressure, Subject: "s", Value: priority, Until: now.Add(left)}
}

// Reports of several entries about a service are one fact, or each exchange would carry one for each entry.
var _ = Describe("A report of calls that an entry lost", func() {
	for _, tc := range []struct {
		name     string
		old, new fact.Fact
		isNew    bool
	}{
		{"takes the place of a less urgent one", pressure(1, tune.PressureTTL), pressure(0, tune.PressureGap), true},
		{"does not take the place of a more urgent one", pressure(0, tune.PressureGap), pressure(1, tune.PressureTTL), false},
		{"takes the place of an older one of its priority", pressure(1, tune.PressureTTL-tune.PressureGap), pressure(1, tune.PressureTTL), true},
		{"is not news beside one as new", pressure(1, tune.PressureTTL-tune.PressureGap/2), pressure(1, tune.PressureTTL), false},
		{"takes the place of a more urgent one that has expired", pressure(0, 0), pressure(1, tune.PressureTTL), true},
	} {
		It(tc.name, func() {
			t := gossip.New(0)
			t.Add(now, tc.old)
			Expect(t.Add(now, tc.new)).To(Equal(tc.isNew))
			Expect(t.Live(now, tune.MaxFacts)).To(HaveLen(1))
		})
	}

	It("does not keep other facts out of an exchange", func() {
		t := gossip.New(0)
		for i := range tune.MaxFacts {
			f := pressure(0, tune.PressureTTL)
			f.Subject = fmt.Sprint(i)
			t.Add(now, f)
		}
		t.Add(now, fact.Fact{Topic: topic.ColdStart, Subject: "u", Value: 1, Until: now.Add(time.Second)})
		Expect(t.Live(now, tune.MaxFacts)[0].Subject).To(Equal("u"))
	})
})
