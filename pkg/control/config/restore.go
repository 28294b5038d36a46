package config

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
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
	// lapse is when upstreams that announce themselves have to be back, until when the copy is believed of records that do not tell
	// which is newer, and end when it is believed of all.
	lapse, until, end time.Time
}

// begin sets the times of the transition for one that begins at a time.
func (r *restoration) begin(at time.Time) {
	r.lapse, r.until, r.end = at.Add(tune.RestoreReannounce), at.Add(tune.RestoreGrace), at.Add(tune.RestoreMemory)
}

// translate returns the time of the transition that stands for the same time of another one.
func (r *restoration) translate(due time.Time, other restoration) time.Time {
	switch {
	case due.Equal(other.lapse):
		return r.lapse
	case due.Equal(other.until):
		return r.until
	case due.Equal(other.end):
		return r.end
	}
	return due
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

// known is what an entry knows of a key from an earlier era of the store.
type known struct {
	// item is what is in force, or the tombstone of what was removed, and value the value that is in force or that was removed.
	item  item.Item
	value value.Value
}

// Restored begins the transition to a later era of the store, whose first list is at a revision and holds the given items.
//
// Operators and upstreams write again what the store has lost. So that nothing steps back to the copy and forward again, an item of
// the new era may have to wait, see waitsAfterRestore.
func (c *Config) Restored(now time.Time, revision revno.Revision, list []item.Item) {
	last := c.restored
	c.restored = restoration{revision: revision, before: last.revision}
	c.restored.begin(now)
	clear(c.rewritten)
	for _, it := range list {
		if held, ok := c.items[it.Key]; ok && held.Revision.Number() == it.Revision.Number() && bytes.Equal(held.Value, it.Value) {
			c.restored.copied = max(c.restored.copied, it.Revision.Number())
		}
	}
	c.extendDeferred(last)
}

// ExtendTransition begins the times of a transition anew that have not passed. It is meant for an entry that is out of touch with the
// store, which cannot know what was written again.
func (c *Config) ExtendTransition(now time.Time) {
	r, last := &c.restored, c.restored
	switch {
	case now.Before(r.until):
		r.begin(now)
	case now.Before(r.end):
		r.end = now.Add(tune.RestoreMemory)
	default:
		return
	}
	c.extendDeferred(last)
}

// extendDeferred makes the items that wait because of the last transition due at the times of this one.
func (c *Config) extendDeferred(last restoration) {
	for key, d := range c.deferred {
		c.deferred[key] = deferredItem{d.item, c.restored.translate(d.due, last)}
	}
}

// knownBefore returns what is known of a key from an earlier era: what is in force, the progress that a rollout has taken over, or the
// last removal. There is nothing once the key has been applied in this era.
func (c *Config) knownBefore(key string) (known, bool) {
	era := c.restored.revision.Era()
	if held, ok := c.items[key]; ok {
		return known{held, c.values[key]}, held.Revision.Era() < era
	}
	if p, ok := c.carried[key]; ok {
		return known{item.Item{Key: key}, value.Value{Progress: p}}, true
	}
	r, ok := c.removed[key]
	return known{r.item, r.value}, ok && r.item.Revision.Era() < era
}

// waitsAfterRestore reports whether an item waits because the store was restored, and until when.
func (c *Config) waitsAfterRestore(now time.Time, it item.Item) (due time.Time, waits bool) {
	if !now.Before(c.restored.end) || it.Revision.Era() != c.restored.revision.Era() || keys.IsOwner(it.Key) {
		return time.Time{}, false
	}
	k, ok := c.knownBefore(it.Key)
	if !ok {
		return time.Time{}, false
	}
	if d, deferred := c.deferred[it.Key]; it.Tombstone && !k.item.Tombstone {
		// The key was missing in the list, unless the store has held it in this era.
		if deferred && !d.item.Tombstone || !deferred && c.knownRemoved(k.item) {
			return time.Time{}, false
		}
	}
	due, waits = c.restoredDue(k, it)
	return due, waits && now.Before(due)
}

// restoredDue decides whether an item of a restored store waits, given what is known of its key from before, and until when. It is the
// one place that does so; docs/design/restored-store.md has the table of its cases.
//
// An item that is the same as what is in force does not wait: it was not lost, or is written again. Neither does one that is newer, by
// the order that its writers gave it or, without such an order, because it is not part of the copy. What an upstream writes after the
// list is never older. All others wait: those that are known to be older, and orders of rollouts that must not run again, until the end
// of the transition, so that they come into force only if nobody writes again; others for tune.RestoreGrace.
func (c *Config) restoredDue(k known, it item.Item) (due time.Time, waits bool) {
	if it.Tombstone {
		return c.missingDue(k), !k.item.Tombstone
	}
	listed := it.Revision <= c.restored.revision
	if next, err := c.Decode(it); err == nil {
		if !k.item.Tombstone && (bytes.Equal(k.item.Value, it.Value) || sameOrder(k.value, next)) {
			return time.Time{}, false
		}
		if order := compareOrder(next, k.value); order != 0 && (listed || !isAnnounced(next)) {
			return c.restored.end, order < 0
		}
	}
	// What was lost has higher numbers than the copy.
	older := listed && it.Revision.Number() < k.item.Revision.Number()
	if isAnnounced(k.value) || isOrder(k.value) && (k.item.Tombstone || c.isReplaced(it)) {
		return c.restored.end, older
	}
	return c.restored.until, older
}

// isReplaced reports whether an item of a restored store is the order that the one in force has replaced.
func (c *Config) isReplaced(it item.Item) bool {
	r, ok := c.replaced[it.Key]
	return ok && r.Revision.Number() == it.Revision.Number() && bytes.Equal(r.Value, it.Value)
}

// missingDue returns until when a record stays in force that a restored store lacks.
func (c *Config) missingDue(k known) time.Time {
	switch v := k.value; {
	case selfAnnounced(v):
		return c.restored.lapse
	case v.Batch != nil, v.Progress != nil, isOrder(v):
		return c.restored.end
	}
	return c.restored.until
}

// knownRemoved reports whether a record that is missing in the list was removed before the copy was made, or in the new era: the copy
// is of a time after its last write. It does not say so of keys under leases, which are gone with them, nor of what was written in the
// era before, if the store may have come back from a copy of an earlier one.
func (c *Config) knownRemoved(held item.Item) bool {
	v := c.values[held.Key]
	if !isRecord(v) || isAnnounced(v) {
		return false
	}
	native := c.restored.before != 0 && held.Revision > c.restored.before
	return !native && held.Revision.Number() <= c.restored.copied
}

// compareOrder compares two values of a key by the order that their writers gave them; 0 if they have none.
func compareOrder(a, b value.Value) int {
	switch {
	case a.Batch != nil && b.Batch != nil:
		return cmp.Compare(a.Batch.Version, b.Batch.Version)
	case a.Progress != nil && b.Progress != nil:
		return compareProgress(a.Progress, b.Progress)
	case a.Record != nil && b.Record != nil && a.Record.Upstream != nil && b.Record.Upstream != nil:
		x, y := a.Record.Upstream, b.Record.Upstream
		return cmp.Or(cmp.Compare(x.Incarnation, y.Incarnation), cmp.Compare(x.Sequence, y.Sequence))
	}
	return 0
}

// compareProgress compares how far a rollout has come. One that has ended does not go on, and its share only grows until then.
func compareProgress(a, b *progrs.Progress) int {
	switch x, y := hasEnded(a), hasEnded(b); {
	case x && !y:
		return 1
	case !x && y:
		return -1
	case !x && a.Permille != b.Permille:
		return cmp.Compare(a.Permille, b.Permille)
	}
	return a.SteppedAt.Compare(b.SteppedAt)
}

// isOrder reports whether a value is the order of a rollout.
func isOrder(v value.Value) bool { return v.Record != nil && v.Record.Rollout != nil }

// isAnnounced reports whether a value is an upstream that announces itself.
func isAnnounced(v value.Value) bool {
	return v.Record != nil && v.Record.Upstream != nil && v.Record.Upstream.Incarnation != 0
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
// was removed. It also returns for how much longer each of them stays, and when the transition ends, as of now.
func (c *Config) Kept(now time.Time) (kept []item.Item, left []time.Duration, end time.Time) {
	if !now.Before(c.restored.end) {
		return nil, nil, time.Time{}
	}
	for _, key := range slices.Sorted(maps.Keys(c.deferred)) {
		if k, ok := c.knownBefore(key); ok && c.carried[key] == nil {
			kept, left = append(kept, k.item), append(left, c.deferred[key].due.Sub(now))
		}
	}
	return kept, left, c.restored.end
}

// IsKept reports whether the value of a key is in force although the store holds an older one or none.
func (c *Config) IsKept(key string) bool {
	_, waits := c.deferred[key]
	_, inForce := c.items[key]
	return waits && inForce || c.carried[key] != nil
}

// Keep takes over what a peer keeps in force although the store holds an older copy, in a transition that ends at a time, for an entry that
// knows the copy alone. The revision is that of the entry's replica. The peer knows better for how long, since it knew what was lost; a
// peer of an older build does not say, and its transition ends after tune.RestoreGrace.
func (c *Config) Keep(now, end time.Time, revision revno.Revision, kept []item.Item, left []time.Duration) {
	whole := tune.RestoreMemory
	if end.Sub(now) <= tune.RestoreGrace {
		whole = tune.RestoreGrace
	}
	last := c.restored
	c.restored = restoration{revision: revision}
	if last.revision.Era() == revision.Era() {
		c.restored.revision = last.revision
	}
	c.restored.begin(earlier(end, now.Add(whole)).Add(-whole))
	c.restored.end = earlier(end, now.Add(whole))
	c.extendDeferred(last)
	for i, k := range kept {
		r, gone := c.removed[k.Key]
		if k.Revision.Era() >= revision.Era() || keys.IsOwner(k.Key) || gone && r.item.Revision.Era() >= revision.Era() {
			continue
		}
		stored, ok := c.items[k.Key]
		if !ok {
			stored = item.Item{Key: k.Key, Revision: revision, Tombstone: true}
		}
		v, err := c.Decode(item.Item{Key: k.Key, Value: k.Value, Revision: k.Revision})
		if _, deferred := c.deferred[k.Key]; err != nil || deferred {
			continue
		}
		due, waits := c.restoredDue(known{k, v}, stored)
		if len(left) == len(kept) {
			due = now.Add(left[i])
		}
		if !waits || !now.Before(due) {
			continue
		}
		c.apply(now, k, true)
		if k.Tombstone {
			c.removed[k.Key] = removal{item: k, value: v, at: now}
		}
		c.deferred[k.Key] = deferredItem{stored, due}
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
	maps.DeleteFunc(c.removed, func(key string, r removal) bool {
		_, waits := c.deferred[key]
		return !waits && now.Sub(r.at) >= tune.RestoreMemory
	})
}
