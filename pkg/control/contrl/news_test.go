package contrl_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Load pattern: upstreams of a fleet crash, leave and start all the time, and each fact about them lives for half a minute. Guards against
// facts that are repeated in each exchange, and against entries that are taken to have facts which they lack.
var _ = Describe("A fact", func() {
	const every, seconds, ttl = 200 * time.Millisecond, 12, 30 * time.Second
	for _, tc := range []struct {
		name  string
		topic topic.Topic
		// lost is the share of answers between entries that are lost.
		lost float64
		// restart is set if an entry is started anew each second.
		restart bool
		// maxDelay bounds the time until a fact is at all entries that run.
		maxDelay time.Duration
		// maxCopies bounds how often an entry is sent a fact, on average.
		maxCopies float64
	}{
		{"of a draining upstream is sent a few times to each entry", topic.Draining, 0, false, time.Second, 14},
		{"of a first crash, which is not pushed, is sent a few times to each entry", topic.Poison, 0, false, 3 * time.Second, 10},
		{"reaches all entries while a third of the answers is lost", topic.Poison, 0.3, false, 6 * time.Second, 16},
		{"reaches entries that start anew", topic.Poison, 0, true, 5 * time.Second, 14},
	} {
		for _, entries := range []int{24, 41} {
			It(fmt.Sprintf("%s: %d entries", tc.name, entries), func() {
				f := newFleet(entries, 3)
				f.dropAnswer = func() bool { return f.rand.Float64() < tc.lost }
				reported := map[string]time.Time{}
				longest := time.Duration(0)
				report := func(i int) {
					// An entry that starts anew next would lose what it has told nobody.
					next := i / 5 % entries
					e, subject := f.entries[(next+1+f.rand.IntN(entries-1))%entries], fmt.Sprint(i)
					reported[subject] = f.now
					f.step(e, event.Event{Kind: evkind.FactReported, Fact: fact.Fact{Topic: tc.topic, Subject: subject, Value: 1, Until: f.now.Add(ttl)}})
				}
				before, n := f.factCopies, int(seconds*time.Second/every)
				for i := range n {
					report(i)
					if tc.restart && i%5 == 4 {
						f.restart(f.entries[(i/5)%entries])
					}
					f.run(every)
				}
				f.run(tc.maxDelay)
				for subject, at := range reported {
					for _, e := range f.entries {
						Expect(e.facts).To(HaveKey(subject), fmt.Sprintf("%s, reported %v ago", e.name, f.now.Sub(at)))
						if !tc.restart {
							longest = max(longest, e.facts[subject].Sub(at))
						}
					}
				}
				copies := float64(f.factCopies-before) / float64(n*entries)
				_, _ = fmt.Fprintf(GinkgoWriter, "%d entries: %.1f copies of a fact for each entry, at all after %v\n", entries, copies, longest)
				Expect(longest).To(BeNumerically("<", tc.maxDelay))
				Expect(copies).To(BeNumerically("<", tc.maxCopies))
			})
		}
	}

	It("is sent with each answer to a peer of an older build", func() {
		now := time.Unix(1000, 0)
		c := largeFleet(now, "me@zone-0", 24, 4)
		c.Step(now, event.Event{Kind: evkind.FactReported, Fact: fact.Fact{Topic: topic.Draining, Subject: "u", Until: now.Add(ttl)}})
		for range 3 {
			answer := answerTo(c, now, 24, 0)
			Expect(answer.Facts).To(HaveLen(1))
			Expect(answer.FactsUpto).To(BeNumerically(">", 0))
		}
		upto := answerTo(c, now, 24, 0).FactsUpto
		Expect(answerTo(c, now, 24, upto).Facts).To(BeEmpty())
		Expect(answerTo(c, now, 24, upto+tune.MaxFacts).Facts).To(HaveLen(1), "to a peer that speaks of an earlier start of this entry")
	})
})
