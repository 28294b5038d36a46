package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Table is the set of live facts. It numbers them in the order in which it learns of them, so that a peer can say up to which number
// it has them.
//
// It is not safe for concurrent use.
type Table struct {
	facts map[factKey]*entry
	// last is the number of the newest fact.
	last uint64
}

// entry is a fact in the table.
type entry struct {
	fact   fact.Fact
	number uint64
	// holders are peers that have sent the fact, maxHolders at most.
	holders []string
}

// maxHolders bounds the peers that are known to hold one fact. Others are sent it once more than needed.
const maxHolders = 16

// factKey identifies a fact. The origin is set for poison facts only, which are kept for each origin.
type factKey struct {
	topic   topic.Topic
	subject string
	origin  string
}

// New returns a table without facts, whose numbers are above last. Those of different starts of an entry must not overlap.
func New(last uint64) *Table { return &Table{facts: map[factKey]*entry{}, last: last} }

// keyOf returns the key of a fact.
func keyOf(f fact.Fact) factKey {
	key := factKey{f.Topic, f.Subject, ""}
	if f.Topic == topic.Poison {
		key.origin = f.Origin
	}
	return key
}

// Add stores a fact, and reports whether it is new.
//
// A fact that has expired is ignored, as is one whose topic, subject and value equal those of a live fact. A poison
// fact is compared with those of its own origin, and is also ignored if its count of crashes is the lower one. A pressure
// fact takes the place of a live one if it is more urgent, or lasts longer by tune.PressureGap at least.
func (t *Table) Add(now time.Time, f fact.Fact) bool {
	if !f.Until.After(now) {
		return false
	}
	key := keyOf(f)
	if e, ok := t.facts[key]; ok && e.fact.Until.After(now) && !supersedes(f, e.fact) {
		return false
	}
	t.last++
	t.facts[key] = &entry{fact: f, number: t.last}
	return true
}

// supersedes reports whether a fact takes the place of a live one about the same subject.
func supersedes(f, old fact.Fact) bool {
	switch f.Topic {
	case topic.Pressure:
		return f.Value < old.Value || f.Value == old.Value && f.Until.Sub(old.Until) >= tune.PressureGap
	case topic.Poison:
		return f.Value > old.Value
	}
	return f.Value != old.Value
}

// HeldBy records that a peer has sent a fact. It does nothing unless the table has the same fact.
func (t *Table) HeldBy(f fact.Fact, peer string) {
	e, ok := t.facts[keyOf(f)]
	if ok && e.fact.Value == f.Value && len(e.holders) < maxHolders && !slices.Contains(e.holders, peer) {
		e.holders = append(e.holders, peer)
	}
}

// Forget records that a peer may hold no fact any more.
func (t *Table) Forget(peer string) {
	for _, e := range t.facts {
		e.holders = slices.DeleteFunc(e.holders, func(name string) bool { return name == peer })
	}
}

// Last returns the number of the newest fact, or the one that New was given.
func (t *Table) Last() uint64 { return t.last }

// News returns live facts above a number that a peer is not known to hold, up to a limit, and the number up to which they are all such
// facts; 0 if there are none.
//
// If there are more, half of them are the first of Live, and the other half the oldest ones, so that the peer gets all of them in time.
func (t *Table) News(now time.Time, peer string, above uint64, limit int) (facts []fact.Fact, upto uint64) {
	entries := t.live(now)
	entries = slices.DeleteFunc(entries, func(e *entry) bool { return e.number <= above || slices.Contains(e.holders, peer) })
	if len(entries) == 0 {
		return nil, 0
	}
	upto = t.last
	if len(entries) > limit {
		rest := entries[limit/2:]
		slices.SortFunc(rest, func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
		entries = entries[:limit]
		upto = entries[limit-1].number
	}
	for _, e := range entries {
		facts = append(facts, e.fact)
	}
	return facts, upto
}

// Get returns the live fact about a subject, and whether there is one. It does not find poison facts.
func (t *Table) Get(now time.Time, about topic.Topic, subject string) (fact.Fact, bool) {
	e, ok := t.facts[factKey{about, subject, ""}]
	if !ok {
		return fact.Fact{}, false
	}
	return e.fact, e.fact.Until.After(now)
}

// Live returns up to limit live facts, and deletes the expired ones.
//
// The topics with the most lasting effects come first, and within a topic the facts that expire last. Pressure comes last.
func (t *Table) Live(now time.Time, limit int) []fact.Fact {
	var out []fact.Fact
	for _, e := range t.live(now) {
		if len(out) < limit {
			out = append(out, e.fact)
		}
	}
	return out
}

// live returns the live facts in the order of Live, and deletes the expired ones.
func (t *Table) live(now time.Time) []*entry {
	var out []*entry
	for key, e := range t.facts {
		if !e.fact.Until.After(now) {
			delete(t.facts, key)
			continue
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(rank(b.fact.Topic), rank(a.fact.Topic)),
			b.fact.Until.Compare(a.fact.Until),
			cmp.Compare(a.fact.Subject, b.fact.Subject),
			cmp.Compare(a.fact.Origin, b.fact.Origin),
		)
	})
	return out
}

// rank returns the order of a topic in Live, where the highest comes first.
func rank(t topic.Topic) int {
	if t == topic.Pressure {
		return -1
	}
	return int(t)
}
