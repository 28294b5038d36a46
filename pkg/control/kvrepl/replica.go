package kvrepl

import (
	"cmp"
	"slices"
	"sort"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Replica is the state of the control keys at one revision of the store, with the writes that led to it.
//
// It is not safe for concurrent use.
type Replica struct {
	revision revno.Revision
	// items holds the newest item of each key, tombstones included.
	items map[string]item.Item
	// log lists writes by ascending revision. A compaction removes those that a later write of the key supersedes.
	log []write
	// compacted is the highest revision of the tombstones that have been discarded.
	compacted revno.Revision
	// tombstones is the number of tombstones in items.
	tombstones int
}

// write refers to the write of a key at a revision.
type write struct {
	revision revno.Revision
	key      string
}

// New returns an empty replica at revision 0.
func New() *Replica { return &Replica{items: map[string]item.Item{}} }

// Revision returns the revision up to which the replica is complete.
func (r *Replica) Revision() revno.Revision { return r.revision }

// Get returns the item of a key, and whether the key exists. The revision of a key that does not exist has number 0, as in the store,
// and the era of the replica.
func (r *Replica) Get(key string) (item.Item, bool) {
	it, ok := r.items[key]
	if !ok || it.Tombstone {
		return item.Item{Key: key, Revision: r.revision.Absent()}, false
	}
	return it, true
}

// Len returns the number of keys, including removed ones whose tombstones are kept.
func (r *Replica) Len() int { return len(r.items) }

// Apply applies a delta and returns the items that changed the replica, by ascending revision.
//
// It ignores a delta that ends at or before the revision of the replica, because it is stale, and one that starts
// after that revision or in another era of the store, because changes in between would be missed. A full delta may start
// anywhere; the keys that it does not list are removed.
func (r *Replica) Apply(d delta.Delta) []item.Item {
	if !r.Follows(d) {
		return nil
	}
	items := d.Items
	if d.Full {
		items = append(r.missing(d), items...)
	}
	slices.SortStableFunc(items, func(a, b item.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	var changed []item.Item
	for _, it := range items {
		if r.put(it) {
			changed = append(changed, it)
		}
	}
	r.revision = d.Revision
	r.compact()
	return changed
}

// Follows reports whether Apply does not ignore a delta.
func (r *Replica) Follows(d delta.Delta) bool {
	if d.Revision <= r.revision {
		return false
	}
	return d.Full || d.BaseRevision <= r.revision && d.Revision.Era() == r.revision.Era()
}

// missing returns tombstones for the keys that are in the replica, but not in a full delta.
func (r *Replica) missing(full delta.Delta) []item.Item {
	listed := make(map[string]bool, len(full.Items))
	for _, it := range full.Items {
		listed[it.Key] = true
	}
	var removed []item.Item
	for key, it := range r.items {
		if !it.Tombstone && !listed[key] {
			removed = append(removed, item.Item{Key: key, Revision: full.Revision, Tombstone: true})
		}
	}
	return removed
}

// put stores an item, and reports whether it is newer than the one of the same key.
func (r *Replica) put(it item.Item) bool {
	old, ok := r.items[it.Key]
	if ok && old.Revision >= it.Revision {
		return false
	}
	if ok && old.Tombstone {
		r.tombstones--
	}
	if it.Tombstone {
		r.tombstones++
	}
	r.items[it.Key] = it
	r.appendLog(write{it.Revision, it.Key})
	return true
}

// appendLog adds a write to the log. Writes made between two pages of a list have higher revisions than the changes that
// follow the list, so a write does not always belong at the end.
func (r *Replica) appendLog(w write) {
	r.log = append(r.log, w)
	for i := len(r.log) - 1; i > 0 && r.log[i-1].revision > w.revision; i-- {
		r.log[i-1], r.log[i] = r.log[i], r.log[i-1]
	}
}

// Since returns the changes after a revision.
//
// Once it has limit changes, it stops at the next revision, so that the changes of one revision stay together. For revision 0, one
// of an earlier era of the store, and if tombstones after the given revision have been discarded, it returns all keys instead: a part
// of them lacks the keys that were written last.
func (r *Replica) Since(revision revno.Revision, limit int) delta.Delta {
	d := delta.Delta{BaseRevision: revision, Revision: r.revision}
	if revision >= r.revision {
		return d
	}
	if revision == 0 || revision.Era() != r.revision.Era() || revision < r.compacted {
		return r.all()
	}
	i := sort.Search(len(r.log), func(i int) bool { return r.log[i].revision > revision })
	for ; i < len(r.log); i++ {
		w := r.log[i]
		if len(d.Items) >= limit && w.revision > d.Items[len(d.Items)-1].Revision {
			d.Revision = min(r.revision, d.Items[len(d.Items)-1].Revision)
			return d
		}
		if it := r.items[w.key]; it.Revision == w.revision {
			d.Items = append(d.Items, it)
		}
	}
	return d
}

// all returns a full delta with every existing key.
func (r *Replica) all() delta.Delta {
	d := delta.Delta{Revision: r.revision, Full: true}
	for _, w := range r.log {
		if it := r.items[w.key]; it.Revision == w.revision && !it.Tombstone {
			d.Items = append(d.Items, it)
		}
	}
	return d
}

// compact removes superseded writes from the log, and discards the oldest tombstones beyond half of tune.MaxTombstones.
//
// It does nothing until the log exceeds twice the number of keys by logSlack, or there are more than tune.MaxTombstones
// tombstones.
func (r *Replica) compact() {
	if len(r.log) < 2*len(r.items)+logSlack && r.tombstones <= tune.MaxTombstones {
		return
	}
	var kept []write
	for _, w := range r.log {
		it, ok := r.items[w.key]
		if !ok || it.Revision != w.revision {
			continue
		}
		if it.Tombstone && r.tombstones > tune.MaxTombstones/2 {
			delete(r.items, w.key)
			r.tombstones--
			r.compacted = max(r.compacted, w.revision)
			continue
		}
		kept = append(kept, w)
	}
	r.log = kept
}

// logSlack is the number of writes beyond twice the number of keys that the log may hold before it is compacted.
const logSlack = 256
