package config

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// restoration is the transition to an era of the store, in which what was in force before stays in force where the store holds an
// older copy.
type restoration struct {
	// revision is that of the first list of the era. What is written later is not part of the copy.
	revision revno.Revision
	// before is the same of the era before, and 0 if none is known.
	before revno.Revision
	// copied is the highest number of an item in the list that was known before, so that the copy is no older.
	copied int64
	// until is when the transition ends, and lapse when upstreams that announce themselves have to be back.
	until, lapse time.Time
}

// deferredItem is an item that is applied at a later time.
type deferredItem struct {
	item item.Item
	due  time.Time
}

// removal is a tombstone that was applied, with the value that it removed.
type removal struct {
	item  item.Item
	value value.Value
	at    time.Time
}

// Restored begins the transition to a later era of the store, whose first list is at a revision and holds the given items.
//
// Operators and upstreams write again what the store has lost. So that nothing steps back to the copy and forward again, an item of
// the new era waits for tune.RestoreGrace at most if it is older than the one in force or than a removal that is known, or if its
// key is missing. Upstreams that announce themselves wait for tune.RestoreReannounce.
func (c *Config) Restored(now time.Time, revision revno.Revision, list []item.Item) {
	c.restored = restoration{revision: revision, before: c.restored.revision, until: now.Add(tune.RestoreGrace), lapse: now.Add(tune.RestoreReannounce)}
	for _, it := range list {
		if held, ok := c.items[it.Key]; ok && held.Revision.Number() == it.Revision.Number() && bytes.Equal(held.Value, it.Value) {
			c.restored.copied = max(c.restored.copied, it.Revision.Number())
		}
	}
	c.extendDeferred()
}

// ExtendTransition begins the times of a transition anew. It is meant for an entry that is out of touch with the store, which cannot
// know what was written again.
func (c *Config) ExtendTransition(now time.Time) {
	if now.Before(c.restored.until) {
		c.restored.until, c.restored.lapse = now.Add(tune.RestoreGrace), now.Add(tune.RestoreReannounce)
		c.extendDeferred()
	}
}

// extendDeferred makes the items that wait because of the transition due at its end.
func (c *Config) extendDeferred() {
	for key, d := range c.deferred {
		if held, ok := c.items[key]; !ok || held.Revision.Era() < c.restored.revision.Era() {
			c.deferred[key] = deferredItem{d.item, c.restoredDue(key, d.item)}
		}
	}
}

// restoredDue returns until when an item waits in a transition.
func (c *Config) restoredDue(key string, it item.Item) time.Time {
	if it.Tombstone && selfAnnounced(c.values[key]) {
		return c.restored.lapse
	}
	return c.restored.until
}

// waitsAfterRestore reports whether an item waits because the store was restored.
func (c *Config) waitsAfterRestore(now time.Time, it item.Item) bool {
	era := c.restored.revision.Era()
	if !now.Before(c.restored.until) || it.Revision.Era() != era || keys.IsOwner(it.Key) || c.unchanged(it) {
		return false
	}
	if held, ok := c.items[it.Key]; ok {
		d, waits := c.deferred[it.Key]
		switch {
		case held.Revision.Era() == era:
			return false
		case it.Tombstone:
			// The key was missing in the list, unless the store has held it in this era.
			return waits && d.item.Tombstone || !waits && !c.knownRemoved(held)
		}
		return c.older(it, held, c.values[it.Key])
	}
	r, ok := c.removed[it.Key]
	return ok && r.item.Revision.Era() < era && !it.Tombstone && c.older(it, r.item, r.value)
}

// knownRemoved reports whether a record that is missing in the list was removed before the copy was made, or in the new era: the copy
// is of a time after its last write. It does not say so of keys under leases, which are gone with them, nor of what was written in the
// era before, if the store may have come back from a copy of an earlier one.
func (c *Config) knownRemoved(held item.Item) bool {
	v := c.values[held.Key]
	if !isRecord(v) || v.Record != nil && v.Record.Upstream != nil && v.Record.Upstream.Incarnation != 0 {
		return false
	}
	native := c.restored.before != 0 && held.Revision > c.restored.before
	return !native && held.Revision.Number() <= c.restored.copied
}

// older reports whether an item of the store is older than one of an earlier era with a value, by their own order if they have one.
// Otherwise it is older if it may be part of the copy, and its number is lower: what was lost has higher numbers than the copy.
func (c *Config) older(it, earlier item.Item, v value.Value) bool {
	if next, err := c.Decode(it); err == nil {
		if order := compareOrder(next, v); order != 0 {
			return order < 0
		}
	}
	return it.Revision <= c.restored.revision && it.Revision.Number() < earlier.Revision.Number()
}

// compareOrder compares two values of a key by the order that their writers gave them; 0 if they have none.
func compareOrder(a, b value.Value) int {
	switch {
	case a.Batch != nil && b.Batch != nil:
		return cmp.Compare(a.Batch.Version, b.Batch.Version)
	case a.Progress != nil && b.Progress != nil:
		return a.Progress.SteppedAt.Compare(b.Progress.SteppedAt)
	case a.Record != nil && b.Record != nil && a.Record.Upstream != nil && b.Record.Upstream != nil:
		x, y := a.Record.Upstream, b.Record.Upstream
		return cmp.Or(cmp.Compare(x.Incarnation, y.Incarnation), cmp.Compare(x.Sequence, y.Sequence))
	}
	return 0
}

// unchanged reports whether an item of a later era has the value in force, so that only its revision is new.
func (c *Config) unchanged(it item.Item) bool {
	held, ok := c.items[it.Key]
	if !ok || it.Tombstone || held.Revision.Era() >= it.Revision.Era() || !bytes.Equal(held.Value, it.Value) {
		return false
	}
	// The name of a rollout may depend on the number.
	r := c.values[it.Key].Record
	return held.Revision.Number() == it.Revision.Number() || r == nil || r.Rollout == nil
}

// Kept returns what is in force, or removed, although the store holds an older copy, sorted by key. A tombstone holds the value that
// was removed. It also returns until when, as of now, the last of them stays.
func (c *Config) Kept(now time.Time) ([]item.Item, time.Time) {
	if !now.Before(c.restored.until) {
		return nil, time.Time{}
	}
	var kept []item.Item
	for _, key := range slices.Sorted(maps.Keys(c.deferred)) {
		if held, ok := c.items[key]; ok {
			kept = append(kept, held)
		} else if r, ok := c.removed[key]; ok {
			kept = append(kept, r.item)
		}
	}
	return kept, c.restored.until
}

// IsKept reports whether the value of a key is in force although the store holds an older one or none.
func (c *Config) IsKept(key string) bool {
	_, waits := c.deferred[key]
	_, inForce := c.items[key]
	return waits && inForce || c.carried[key]
}

// Keep takes over what a peer keeps in force until a time although the store holds an older copy, for an entry that knows the copy
// alone. The revision is that of the entry's replica.
func (c *Config) Keep(now, until time.Time, revision revno.Revision, kept []item.Item) {
	until = earlier(until, now.Add(tune.RestoreGrace))
	c.restored = restoration{revision: revision, until: until, lapse: earlier(until, now.Add(tune.RestoreReannounce))}
	for _, k := range kept {
		if k.Revision.Era() >= revision.Era() || keys.IsOwner(k.Key) {
			continue
		}
		stored, ok := c.items[k.Key]
		if !ok {
			stored = item.Item{Key: k.Key, Revision: revision, Tombstone: true}
		}
		live := item.Item{Key: k.Key, Value: k.Value, Revision: k.Revision}
		v, err := c.Decode(live)
		if err != nil || ok && !c.older(stored, live, v) {
			continue
		}
		if _, waits := c.deferred[k.Key]; waits {
			continue
		}
		if k.Tombstone {
			if ok {
				c.apply(now, k, true)
				c.removed[k.Key] = removal{item: k, value: v, at: now}
				c.deferred[k.Key] = deferredItem{stored, c.restoredDue(k.Key, stored)}
			}
			continue
		}
		c.apply(now, live, true)
		c.deferred[k.Key] = deferredItem{stored, c.restoredDue(k.Key, stored)}
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// noteRemoval remembers a removal, so that a copy of the store that still has the key is known to be older.
func (c *Config) noteRemoval(now time.Time, tombstone item.Item) {
	if held, ok := c.items[tombstone.Key]; ok {
		r := item.Item{Key: held.Key, Value: held.Value, Revision: tombstone.Revision, Tombstone: true}
		c.removed[held.Key] = removal{item: r, value: c.values[held.Key], at: now}
	}
}

// sweepRemovals forgets the removals that no copy of the store can be older than.
func (c *Config) sweepRemovals(now time.Time) {
	maps.DeleteFunc(c.removed, func(_ string, r removal) bool { return now.Sub(r.at) >= tune.RestoreMemory })
}

// carryProgress gives a rollout that operators have requested again, after its first request was lost, the progress of the first.
// Where the name of a rollout holds the revision of the request, the second one has a name of its own.
func (c *Config) carryProgress(now time.Time, old, next *rolrec.Rollout) {
	p := c.Progress[old.Name]
	same := old.Name != next.Name && old.Service == next.Service && old.To == next.To && old.Duration == next.Duration
	if p == nil || !same || c.Progress[next.Name] != nil || !now.Before(c.restored.until) {
		return
	}
	carried := *p
	carried.Rollout = next.Name
	c.Progress[next.Name] = &carried
	c.carried[keys.Rollout(next.Name)] = true
}
