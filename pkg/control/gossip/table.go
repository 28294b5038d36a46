package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
)

// Table is the set of live facts; control owns it.
type Table struct {
	facts map[factKey]fact.Fact
}

type factKey struct {
	topic   topic.Topic
	subject string
	origin  string
}

// New returns a set without facts.
func New() *Table { return &Table{facts: map[factKey]fact.Fact{}} }

// Add takes in a fact, and reports whether it is news.
func (r *Table) Add(now time.Time, f fact.Fact) bool {
	if !f.Until.After(now) {
		return false
	}
	id := factKey{f.Topic, f.Subject, ""}
	if f.Topic == topic.Poison {
		id.origin = f.Origin
	}
	old, ok := r.facts[id]
	if ok && old.Until.After(now) && old.Value == f.Value {
		return false
	}
	if ok && f.Topic == topic.Poison && old.Until.After(now) && old.Value > f.Value {
		return false
	}
	r.facts[id] = f
	return true
}

// Get returns a live fact about a subject, and whether there is one.
func (r *Table) Get(now time.Time, t topic.Topic, subject string) (fact.Fact, bool) {
	f, ok := r.facts[factKey{t, subject, ""}]
	return f, ok && f.Until.After(now)
}

// Live returns up to most facts, the most lasting effects first.
func (r *Table) Live(now time.Time, most int) []fact.Fact {
	var out []fact.Fact
	for id, f := range r.facts {
		if !f.Until.After(now) {
			delete(r.facts, id)
			continue
		}
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b fact.Fact) int {
		return cmp.Or(
			cmp.Compare(b.Topic, a.Topic),
			b.Until.Compare(a.Until),
			cmp.Compare(a.Subject, b.Subject),
			cmp.Compare(a.Origin, b.Origin),
		)
	})
	return out[:min(most, len(out))]
}
