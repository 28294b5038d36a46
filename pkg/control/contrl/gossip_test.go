package contrl_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/contrl"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "contrl")
}

// newControl returns a bootstrapped control with the given number of peers and a rollout named "m".
func newControl(now time.Time, peers int) *contrl.Control {
	decode := func(it item.Item) (value.Value, error) {
		if it.Key == keys.Record("move", "m") {
			return value.Value{Record: &record.Record{Rollout: &rolrec.Rollout{Name: "m", Service: "s", To: "v2"}}}, nil
		}
		name := strings.TrimPrefix(it.Key, keys.MemberPrefix)
		return value.Value{Member: &member.Member{Name: name}}, nil
	}
	c := contrl.New(member.Member{Name: "me"}, rand.New(rand.NewPCG(1, 1)), decode)
	var items []item.Item
	for i := range peers {
		items = append(items, item.Item{Key: keys.Member(fmt.Sprintf("entry-%d", i)), Revision: revno.Revision(i + 1)})
	}
	items = append(items, item.Item{Key: keys.Record("move", "m"), Revision: 1})
	d := delta.Delta{Items: items, Revision: revno.Revision(peers), Full: true}
	c.Step(now, event.Event{Kind: evkind.DigestAnswered, Digest: digest.Digest{From: "entry-0", Revision: revno.Revision(peers), Matched: proof.At(now), Delta: d}})
	return c
}

var _ = Describe("Gossip", func() {
	const many = 60
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name  string
		topic topic.Topic
		value uint64
		// maxMessages bounds the messages that many facts cause at once, and minFacts is how many of the facts these
		// messages hold at least.
		maxMessages, minFacts int
	}{
		{"of the first crash of each call on a lost upstream waits for the next exchange", topic.Poison, 1, 0, 0},
		{"of calls that have crashed several upstreams goes out in one message to a few peers", topic.Poison, tune.MaxCrashes, tune.Fanout, many},
		{"of calls that an entry lost waits for the next exchange", topic.Pressure, 0, 0, 0},
		{"of draining upstreams goes out in one message to a few peers", topic.Draining, 0, tune.Fanout, many},
		{"of a rollback goes out at once", topic.RolledBack, 0, many * tune.Fanout, many},
	} {
		It(tc.name, func() {
			c := newControl(now, 100)
			// The first tick also starts an exchange, which must not count below.
			c.Step(now, event.Event{Kind: evkind.Tick})
			at := now.Add(time.Millisecond)
			var sent []effect.Effect
			for i := range many {
				f := fact.Fact{Topic: tc.topic, Subject: fmt.Sprint(i), Value: tc.value, Until: at.Add(time.Minute)}
				sent = append(sent, c.Step(at, event.Event{Kind: evkind.FactReported, Fact: f})...)
			}
			sent = append(sent, c.Step(at, event.Event{Kind: evkind.Tick})...)
			messages, subjects := 0, map[string]bool{}
			for _, e := range sent {
				if e.Action != action.SendDigest {
					continue
				}
				messages++
				for _, f := range e.Digest.Facts {
					subjects[f.Subject] = true
				}
			}
			Expect(messages).To(BeNumerically("<=", tc.maxMessages))
			Expect(len(subjects)).To(BeNumerically(">=", tc.minFacts))
		})
	}

	It("of a first crash is sent with the next exchange", func() {
		c := newControl(now, 100)
		c.Step(now, event.Event{Kind: evkind.Tick})
		f := fact.Fact{Topic: topic.Poison, Subject: "7", Value: 1, Until: now.Add(time.Minute)}
		c.Step(now, event.Event{Kind: evkind.FactReported, Fact: f})
		found := false
		for _, e := range c.Step(now.Add(2*tune.GossipInterval), event.Event{Kind: evkind.Tick}) {
			for _, g := range e.Digest.Facts {
				found = found || g.Subject == "7"
			}
		}
		Expect(found).To(BeTrue())
	})

	for _, tc := range []struct {
		name string
		// origin is the entry that reported the evidence; empty for this one.
		origin            string
		sends, deliveries int
	}{
		{"of evidence goes to the entries that analyze a new version for all", "", tune.PooledEvaluators, 0},
		{"of another entry's evidence goes to the traffic side only", "entry-7", 0, 1},
	} {
		It(tc.name, func() {
			c := newControl(now, 100)
			c.Step(now, event.Event{Kind: evkind.Tick})
			f := fact.Fact{Topic: topic.Evidence, Subject: "m", Origin: tc.origin, Until: now.Add(time.Second), Tallies: []tally.Tally{{Upstream: "u", Calls: 1}}}
			sends, deliveries := 0, 0
			for _, e := range c.Step(now, event.Event{Kind: evkind.FactReported, Fact: f}) {
				switch e.Action {
				case action.SendDigest:
					sends++
				case action.DeliverFact:
					deliveries++
				}
			}
			Expect(sends).To(Equal(tc.sends))
			Expect(deliveries).To(Equal(tc.deliveries))
		})
	}
})
