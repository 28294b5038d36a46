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
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// largeFleet returns the control of the entry "me" of domain zone-0, among entries that are spread over the failure domains in
// turn.
func largeFleet(now time.Time, entries, domains int) *contrl.Control {
	decode := func(it item.Item) (value.Value, error) {
		if name, ok := strings.CutPrefix(it.Key, keys.MemberPrefix); ok {
			return value.Value{Member: &member.Member{Name: name, Domain: domainOf(name)}}, nil
		}
		return value.Value{}, nil
	}
	c := contrl.New(member.Member{Name: "me@zone-0", Domain: "zone-0"}, rand.New(rand.NewPCG(1, 1)), decode)
	items := []item.Item{{Key: keys.Member("me@zone-0"), Revision: 1}}
	for i := 1; i < entries; i++ {
		items = append(items, item.Item{Key: keys.Member(fmt.Sprintf("e%d@zone-%d", i, i%domains)), Revision: revno.Revision(i + 1)})
	}
	d := delta.Delta{Items: items, Revision: revno.Revision(entries), Full: true}
	c.Step(now, event.Event{Kind: evkind.DigestAnswered, Digest: digest.Digest{From: "e1@zone-1", Revision: revno.Revision(entries), Delta: d}})
	return c
}

// domainOf returns the failure domain in the name of an entry of largeFleet.
func domainOf(name string) string {
	_, domain, _ := strings.Cut(name, "@")
	return domain
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
		c := largeFleet(now, entries, domains)
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
	}{
		{"a record that operators change", func(n int) event.Event {
			rev := revno.Revision(entries + n + 1)
			d := delta.Delta{BaseRevision: rev - 1, Revision: rev, Items: []item.Item{{Key: keys.Record("domain", fmt.Sprint("d", n)), Revision: rev}}}
			return event.Event{Kind: evkind.DigestReceived, Digest: digest.Digest{From: "e1@zone-1", Revision: rev, Delta: d}}
		}},
	} {
		It("pushes to other failure domains only as often as the news needs to cross: "+tc.name, func() {
			const times = 100
			c := largeFleet(now, entries, domains)
			c.Step(now, event.Event{Kind: evkind.Tick})
			all, remote := 0, 0
			for n := range times {
				a, r := digests(c.Step(now, tc.event(n)))
				all, remote = all+a, remote+r
			}
			Expect(all).To(Equal(times * tune.Fanout))
			Expect(remote).To(BeNumerically(">", times/4))
			Expect(remote).To(BeNumerically("<=", times))
		})
	}

	It("stays in the failure domain for regular exchanges, but for a few", func() {
		c := largeFleet(now, entries, domains)
		all, remote := 0, 0
		for n := range 400 {
			a, r := digests(c.Step(now.Add(time.Duration(n)*2*tune.GossipInterval), event.Event{Kind: evkind.Tick}))
			all, remote = all+a, remote+r
		}
		Expect(all).To(BeNumerically(">=", 400))
		Expect(remote).To(BeNumerically(">", 10))
		Expect(float64(remote)).To(BeNumerically("<", 0.2*float64(all)))
	})
})
