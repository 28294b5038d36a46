package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
)

// Plan says with whom one entry of a fleet exchanges, if the fleet exchanges by failure domain: entries exchange with a few partners
// of their own domain, and the relays of each domain with those of the others. Relays also watch the store.
//
// All entries that know the same members agree on the relays. A plan is not safe for concurrent use.
type Plan struct {
	self, domain string
	// partners are the other members of the domain, the preferred ones first.
	partners []string
	// ranked has the active members of each domain in the order in which they become relays, by domain.
	ranked map[string][]string
	// others are the names of the other domains that have relays, sorted.
	others []string
	// watchers are the members that watch the store.
	watchers map[string]bool
	// avoidUntil is the time until which members are avoided that did not answer, by name.
	avoidUntil map[string]time.Time
}

// New returns the plan of the entry self, or nil if the fleet does not exchange by failure domain.
func New(self member.Member, members map[string]*member.Member) *Plan {
	p := &Plan{self: self.Name, domain: self.Domain, ranked: map[string][]string{}, watchers: map[string]bool{}, avoidUntil: map[string]time.Time{}}
	for name, m := range members {
		if !m.Draining {
			p.ranked[m.Domain] = append(p.ranked[m.Domain], name)
		}
		if m.Domain == p.domain && name != p.self {
			p.partners = append(p.partners, name)
		}
	}
	if len(members) < tune.DomainFleetEntries || len(p.ranked) < 2 || len(members) < tune.MinDomainEntries*len(p.ranked) {
		return nil
	}
	for domain, names := range p.ranked {
		sortByWeight(names, domain)
		if domain != p.domain {
			p.others = append(p.others, domain)
		}
	}
	slices.Sort(p.others)
	sortByWeight(p.partners, p.self)
	p.chooseWatchers()
	return p
}

// chooseWatchers makes the first entry of each domain watch the store, then, up to tune.MinWatchers, the second ones and so on.
func (p *Plan) chooseWatchers() {
	count := max(tune.MinWatchers, len(p.ranked))
	domains := slices.Sorted(maps.Keys(p.ranked))
	for rank := 0; len(p.watchers) < count; rank++ {
		found := false
		for _, domain := range domains {
			if names := p.ranked[domain]; rank < len(names) && len(p.watchers) < count {
				p.watchers[names[rank]], found = true, true
			}
		}
		if !found {
			return
		}
	}
}

// sortByWeight sorts names by their rendezvous weight for a key.
func sortByWeight(names []string, key string) {
	weights := make(map[string]uint64, len(names))
	seed := xxhash.Sum64String(key)
	for _, name := range names {
		d := xxhash.NewWithSeed(seed)
		// WriteString of a Digest never returns an error.
		_, _ = d.WriteString(name)
		weights[name] = d.Sum64()
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b)) })
}

// Watches reports whether a member watches the store while no other is avoided.
func (p *Plan) Watches(name string) bool { return p.watchers[name] }

// WatchesNow reports whether the entry watches the store. Besides the chosen ones, it does so while it avoids all before it in the order
// of its domain: they may have crashed, and stay among the members until their leases expire.
func (p *Plan) WatchesNow(now time.Time) bool { return p.watchers[p.self] || p.FirstWatcher(now) }

// FirstWatcher reports whether the entry is the first of its domain that watches the store.
func (p *Plan) FirstWatcher(now time.Time) bool { return p.first(now) == p.self }

// first returns the first active member of the domain that is not avoided, or "".
func (p *Plan) first(now time.Time) string {
	if names := p.prefer(now, p.ranked[p.domain], 1); len(names) > 0 {
		return names[0]
	}
	return ""
}

// Relays reports whether the entry is a relay of its domain.
func (p *Plan) Relays(now time.Time) bool {
	return slices.Contains(p.prefer(now, p.ranked[p.domain], tune.DomainRelays), p.self)
}

// Avoid makes the plan prefer other members to one that did not answer, until a time.
func (p *Plan) Avoid(name string, until time.Time) { p.avoidUntil[name] = until }

// AvoidFirst is Avoid for a member that does not know of the store what its domain expects of it, if it is the first of the domain.
func (p *Plan) AvoidFirst(now time.Time, name string, until time.Time) {
	if name == p.first(now) {
		p.Avoid(name, until)
	}
}

// KeepAvoided takes over the members that a previous plan of the same entry avoids; previous may be nil.
func (p *Plan) KeepAvoided(previous *Plan, members map[string]*member.Member) {
	if previous == nil {
		return
	}
	for name, until := range previous.avoidUntil {
		if members[name] != nil {
			p.avoidUntil[name] = until
		}
	}
}

// Partners returns the members of the domain with which the entry exchanges. Members that are avoided are replaced by the next ones.
func (p *Plan) Partners(now time.Time) []string {
	return p.prefer(now, p.partners, tune.DomainPartners)
}

// prefer returns the first names that are not avoided, up to a limit, or the first ones if all are.
func (p *Plan) prefer(now time.Time, names []string, limit int) []string {
	var out []string
	for _, name := range names {
		if len(out) < limit && !now.Before(p.avoidUntil[name]) {
			out = append(out, name)
		}
	}
	if len(out) == 0 {
		return names[:min(limit, len(names))]
	}
	return out
}

// LocalWatchers returns the other members of the domain that watch the store.
func (p *Plan) LocalWatchers(now time.Time) []string {
	first := p.first(now)
	var names []string
	for _, name := range p.ranked[p.domain] {
		if name != p.self && (name == first || p.watchers[name] && !now.Before(p.avoidUntil[name])) {
			names = append(names, name)
		}
	}
	return names
}

// Remote returns the relays of each other domain, for those domains that have any.
func (p *Plan) Remote(now time.Time) [][]string {
	out := make([][]string, 0, len(p.others))
	for _, domain := range p.others {
		if names := p.prefer(now, p.ranked[domain], tune.DomainRelays); len(names) > 0 {
			out = append(out, names)
		}
	}
	return out
}

// Crosses reports whether the entry passes news of a member on to the other domains: its own news, and, if it is a relay, those of its
// domain. Two senders besides the origin are there for the case that the origin fails meanwhile.
func (p *Plan) Crosses(now time.Time, origin string) bool {
	return origin == p.self || p.Relays(now) && slices.Contains(p.ranked[p.domain], origin)
}
