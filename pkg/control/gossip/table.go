package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Table is the set of live facts.
//
// It is not safe for concurrent use.
type Table struct {
	facts map[factKey]fact.Fact
}

// factKey identifies a fact. The origin is set for poison facts only, which are kept for each origin.
type factKey struct {
	topic   topic.Topic
	subject string
	origin  string
}

// New returns a table without facts.
func New() *Table { return &Table{facts: map[factKey]fact.Fact{}} }

// Add stores a fact, and reports whether it is new.
//
// A fact that has expired is ignored, as is one whose topic, subject and value equal those of a live fact. A poison
// fact is compared with those of its own origin, and is also ignored if its count of crashes is the lower one. A pressure
// fact takes the place of a live one if it is more urgent, or lasts longer by tune.PressureGap at least.
func (t *Table) Add(now time.Time, f fact.Fact) bool {
	if !f.Until.After(now) {
		return false
	}
	key := factKey{f.Topic, f.Subject, ""}
	if f.Topic == topic.Poison {
		key.origin = f.Origin
	}
	old, ok := t.facts[key]
	if f.Topic == topic.Pressure && ok && old.Until.After(now) {
		if f.Value > old.Value || f.Value == old.Value && f.Until.Sub(old.Until) < tune.PressureGap {
			return false
		}
		t.facts[key] = f
		return true
	}
	if ok && old.Until.After(now) && old.Value == f.Value {
		return false
	}
	if ok && f.Topic == topic.Poison && old.Until.After(now) && old.Value > f.Value {
		return false
	}
	t.facts[key] = f
	return true
}

// Get returns the live fact about a subject, and whether there is one. It does not find poison facts.
func (t *Table) Get(now time.Time, about topic.Topic, subject string) (fact.Fact, bool) {
	f, ok := t.facts[factKey{about, subject, ""}]
	return f, ok && f.Until.After(now)
}

// Live returns up to limit live facts, and deletes the expired ones.
//
// The topics with the most lasting effects come first, and within a topic the facts that expire last. Pressure comes last.
func (t *Table) Live(now time.Time, limit int) []fact.Fact {
	var out []fact.Fact
	for key, f := range t.facts {
		if !f.Until.After(now) {
			delete(t.facts, key)
			continue
		}
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b fact.Fact) int {
		return cmp.Or(
			cmp.Compare(rank(b.Topic), rank(a.Topic)),
			b.Until.Compare(a.Until),
			cmp.Compare(a.Subject, b.Subject),
			cmp.Compare(a.Origin, b.Origin),
		)
	})
	return out[:min(limit, len(out))]
}

// rank returns the order of a topic in Live, where the highest comes first.
func rank(t topic.Topic) int {
	if t == topic.Pressure {
		return -1
	}
	return int(t)
}
