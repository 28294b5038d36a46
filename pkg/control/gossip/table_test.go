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
			t := gossip.New()
			t.Add(now, tc.old)
			Expect(t.Add(now, tc.new)).To(Equal(tc.isNew))
			Expect(t.Live(now, tune.MaxFacts)).To(HaveLen(1))
		})
	}

	It("does not keep other facts out of an exchange", func() {
		t := gossip.New()
		for i := range tune.MaxFacts {
			f := pressure(0, tune.PressureTTL)
			f.Subject = fmt.Sprint(i)
			t.Add(now, f)
		}
		t.Add(now, fact.Fact{Topic: topic.ColdStart, Subject: "u", Value: 1, Until: now.Add(time.Second)})
		Expect(t.Live(now, tune.MaxFacts)[0].Subject).To(Equal("u"))
	})
})
