package spread_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/spread"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
)

// fleet returns members by the numbers of entries in the domains.
func fleet(sizes ...int) map[string]*member.Member {
	members := map[string]*member.Member{}
	for domain, size := range sizes {
		for i := range size {
			name := fmt.Sprintf("e%d-%d", domain, i)
			members[name] = &member.Member{Name: name, Domain: fmt.Sprint("zone-", domain)}
		}
	}
	return members
}

// Guards against domains without an entry that watches the store or talks to the others, and against entries that disagree on it.
var _ = Describe("A plan", func() {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name  string
		sizes []int
		// watchers is the number of entries that watch the store, or 0 if the fleet does not exchange by domain.
		watchers int
	}{
		{"of a small fleet", []int{6, 6, 6, 5}, 0},
		{"of one domain", []int{40}, 0},
		{"of domains with few entries", []int{2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2}, 0},
		{"of the smallest fleet", []int{6, 6, 6, 6}, 4},
		{"of a large fleet", []int{100, 100, 100}, 4},
		{"of many domains", []int{10, 10, 10, 10, 10, 10, 10}, 7},
		{"of a domain with one entry", []int{1, 12, 12}, 4},
		{"of two domains", []int{1, 30}, 4},
	} {
		It("is the same at all entries: "+tc.name, func() {
			members := fleet(tc.sizes...)
			watchers, relays, watched := map[string]bool{}, 0, map[string]bool{}
			for _, m := range members {
				p := spread.New(*m, members)
				if tc.watchers == 0 {
					Expect(p).To(BeNil())
					continue
				}
				for name := range members {
					if p.Watches(name) {
						watchers[name] = true
						watched[members[name].Domain] = true
					}
				}
				if p.Relays(now) {
					relays++
				}
				Expect(p.Remote(now)).To(HaveLen(len(tc.sizes) - 1))
				for _, name := range p.Partners(now) {
					Expect(members[name].Domain).To(Equal(m.Domain))
					Expect(name).NotTo(Equal(m.Name))
				}
			}
			Expect(watchers).To(HaveLen(tc.watchers))
			if tc.watchers > 0 {
				Expect(watched).To(HaveLen(len(tc.sizes)))
				want := 0
				for _, size := range tc.sizes {
					want += min(size, tune.DomainRelays)
				}
				Expect(relays).To(Equal(want))
			}
		})
	}

	for _, tc := range []struct {
		name string
		// fail is what happens to the first watcher of a domain.
		fail func(members map[string]*member.Member, first string)
	}{
		{"leaves the members", func(members map[string]*member.Member, first string) { delete(members, first) }},
		{"is stopping", func(members map[string]*member.Member, first string) { members[first].Draining = true }},
	} {
		It("has another watcher and relay in the place of one that "+tc.name, func() {
			members := fleet(10, 10, 10)
			first := ""
			for name, m := range members {
				if p := spread.New(*m, members); m.Domain == "zone-1" && p.FirstWatcher(now) {
					first = name
				}
			}
			tc.fail(members, first)
			firsts := 0
			for name, m := range members {
				if p := spread.New(*m, members); m.Domain == "zone-1" && p.FirstWatcher(now) {
					Expect(name).NotTo(Equal(first))
					Expect(p.Relays(now)).To(BeTrue())
					firsts++
				}
			}
			Expect(firsts).To(Equal(1))
		})
	}

	It("prefers others to members that did not answer, and keeps to them if there are no others", func() {
		members := fleet(12, 12)
		p := spread.New(*members["e0-0"], members)
		before := p.Partners(now)
		Expect(before).To(HaveLen(tune.DomainPartners))
		p.Avoid(before[0], now.Add(time.Second))
		Expect(p.Partners(now)).To(And(HaveLen(tune.DomainPartners), Not(ContainElement(before[0]))))
		Expect(p.Partners(now.Add(time.Second))).To(Equal(before))
		for name := range members {
			p.Avoid(name, now.Add(time.Second))
		}
		Expect(p.Partners(now)).To(Equal(before))
	})

	// A dead watcher stays among the members until its lease expires, which takes up to 30 s.
	It("has the next of the domain watch the store in the place of one that does not answer or knows no more of it", func() {
		members := fleet(10, 10, 10)
		byRank := make([]string, 10)
		for range byRank {
			for name, m := range members {
				p := spread.New(*m, members)
				for _, before := range byRank {
					p.Avoid(before, now.Add(time.Second))
				}
				if m.Domain == "zone-1" && !slices.Contains(byRank, name) && p.FirstWatcher(now) {
					byRank[slices.Index(byRank, "")] = name
					break
				}
			}
		}
		for rank, name := range byRank {
			p := spread.New(*members[name], members)
			Expect(p.WatchesNow(now)).To(Equal(p.Watches(name)), "while none is avoided")
			Expect(p.Relays(now)).To(Equal(rank < tune.DomainRelays))
			for _, before := range byRank[:rank] {
				p.AvoidFirst(now, before, now.Add(time.Second))
			}
			Expect(p.WatchesNow(now)).To(BeTrue())
			Expect(p.Relays(now)).To(BeTrue())
			for _, before := range byRank[:rank] {
				Expect(p.LocalWatchers(now)).NotTo(ContainElement(before))
			}
			next := spread.New(*members[name], members)
			next.KeepAvoided(p, members)
			Expect(next.WatchesNow(now)).To(BeTrue(), "after members have changed")
			Expect(p.WatchesNow(now.Add(time.Second))).To(Equal(p.Watches(name)), "once it is tried again")
		}
	})
})
