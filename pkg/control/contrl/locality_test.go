package contrl_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/contrl"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/control/spread"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// largeFleet returns the control of the entry self of domain zone-0, among entries that are spread over the failure domains in turn:
// me@zone-0, e1@zone-1 and so on.
func largeFleet(now time.Time, self string, entries, domains int) *contrl.Control {
	decode := func(it item.Item) (value.Value, error) {
		if name, ok := strings.CutPrefix(it.Key, keys.MemberPrefix); ok {
			return value.Value{Member: &member.Member{Name: name, Domain: domainOf(name)}}, nil
		}
		return value.Value{}, nil
	}
	c := contrl.New(member.Member{Name: self, Domain: "zone-0"}, rand.New(rand.NewPCG(1, 1)), decode)
	items := []item.Item{{Key: keys.Member("me@zone-0"), Revision: 1}}
	for i := 1; i < entries; i++ {
		items = append(items, item.Item{Key: keys.Member(fmt.Sprintf("e%d@zone-%d", i, i%domains)), Revision: revno.Revision(i + 1)})
	}
	d := delta.Delta{Items: items, Revision: revno.Revision(entries), Full: true}
	c.Step(now, event.Event{Kind: evkind.DigestAnswered, Digest: digest.Digest{From: "e1@zone-1", Revision: revno.Revision(entries), Matched: proof.At(now), Delta: d}})
	return c
}

// domainOf returns the failure domain in the name of an entry of largeFleet.
func domainOf(name string) string {
	_, domain, _ := strings.Cut(name, "@")
	return domain
}

// answerTo returns the answer to a digest of the entry e1@zone-1, which has the facts of the answering entry up to a number.
func answerTo(c *contrl.Control, now time.Time, revision revno.Revision, ack uint64) digest.Digest {
	for _, e := range c.Step(now, event.Event{Kind: evkind.DigestReceived, Digest: digest.Digest{From: "e1@zone-1", Revision: revision, FactsAck: ack}}) {
		if e.Action == action.AnswerDigest {
			return e.Digest
		}
	}
	return digest.Digest{}
}

// digests counts the digests among effects, and those to other failure domains than zone-0.
func digests(effects []effect.Effect) (all, remote int) {
	for _, e := range effects {
		if e.Action != action.SendDigest {
			continue
		}
		all++
		if domainOf(e.Peer) != "zone-0" {
			remote++
		}
	}
	return all, remote
}

// Load pattern: hundreds of entries in six failure domains, with calls of a few upstreams each, start together, and entries and
// upstreams come and go all day. What an entry sends must not grow with the number of entries, and bytes between failure
// domains are dear.
var _ = Describe("The exchange of a large fleet", func() {
	const entries, domains = 473, 6
	now := time.Unix(1000, 0)

	It("does not push the entries that join and leave", func() {
		c := largeFleet(now, "me@zone-0", entries, domains)
		c.Step(now, event.Event{Kind: evkind.Tick})
		sent := 0
		for i := range 50 {
			d := delta.Delta{BaseRevision: revno.Revision(entries + i), Revision: revno.Revision(entries + i + 1), Items: []item.Item{
				{Key: keys.Member(fmt.Sprintf("new%d@zone-1", i)), Revision: revno.Revision(entries + i + 1)},
			}}
			all, _ := digests(c.Step(now, event.Event{Kind: evkind.DigestReceived, Digest: digest.Digest{From: "e1@zone-1", Revision: d.Revision, Delta: d}}))
			sent += all
		}
		Expect(sent).To(BeZero())
	})

	for _, tc := range []struct {
		name string
		// event is the nth event that makes the entry push.
		event func(n int) event.Event
		// remote is the number of digests to other failure domains for each event.
		remote int
	}{
		{"none for a record that operators change, which the watchers of each domain see themselves", func(n int) event.Event {
			rev := revno.Revision(entries + n + 1)
			d := delta.Delta{BaseRevision: rev - 1, Revision: rev, Items: []item.Item{{Key: keys.Record("domain", fmt.Sprint("d", n)), Revision: rev}}}
			return event.Event{Kind: evkind.DigestReceived, Digest: digest.Digest{From: "e1@zone-1", Revision: rev, Delta: d}}
		}, 0},
		{"one to each for a rollback that the entry has seen itself", func(n int) event.Event {
			return event.Event{Kind: evkind.FactReported, Fact: fact.Fact{Topic: topic.RolledBack, Subject: fmt.Sprint("r", n), Until: now.Add(time.Hour)}}
		}, domains - 1},
		{"none for a rollback that an entry of another domain has seen", func(n int) event.Event {
			f := fact.Fact{Topic: topic.RolledBack, Subject: fmt.Sprint("r", n), Origin: "e1@zone-1", Until: now.Add(time.Hour)}
			return event.Event{Kind: evkind.DigestReceived, Digest: digest.Digest{From: "e1@zone-1", Revision: entries, Facts: []fact.Fact{f}}}
		}, 0},
	} {
		It("pushes to other failure domains only what has to cross: "+tc.name, func() {
			const times = 100
			c := largeFleet(now, "me@zone-0", entries, domains)
			c.Step(now, event.Event{Kind: evkind.Tick})
			all, remote := 0, 0
			for n := range times {
				a, r := digests(c.Step(now, tc.event(n)))
				all, remote = all+a, remote+r
			}
			Expect(all - remote).To(Equal(times * tune.Fanout))
			Expect(remote).To(Equal(times * tc.remote))
		})
	}

	for _, tc := range []struct {
		name  string
		relay bool
	}{{"of a relay, one each time to another domain", true}, {"of another entry", false}} {
		It("stays in the failure domain for regular exchanges: "+tc.name, func() {
			members := map[string]*member.Member{"me@zone-0": {Name: "me@zone-0", Domain: "zone-0"}}
			for i := 1; i < entries; i++ {
				name := fmt.Sprintf("e%d@zone-%d", i, i%domains)
				members[name] = &member.Member{Name: name, Domain: domainOf(name)}
			}
			self := ""
			for name, m := range members {
				if m.Domain == "zone-0" && spread.New(*m, members).Relays(now) == tc.relay {
					self = name
				}
			}
			const times = 400
			c := largeFleet(now, self, entries, domains)
			all, remote := 0, 0
			for n := range times {
				at := now.Add(time.Duration(n) * 2 * tune.GossipInterval)
				c.Step(at, event.Event{Kind: evkind.DigestAnswered, Digest: digest.Digest{From: "e6@zone-0", Revision: entries, Matched: proof.At(at)}})
				a, r := digests(c.Step(at, event.Event{Kind: evkind.Tick}))
				all, remote = all+a, remote+r
			}
			Expect(all - remote).To(Equal(times))
			if tc.relay {
				Expect(remote).To(Equal(times))
			} else {
				Expect(remote).To(BeZero())
			}
		})
	}
})
