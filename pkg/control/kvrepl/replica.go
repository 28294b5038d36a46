package kvrepl

import (
	"slices"
	"sort"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

// Replica is the state of the control keys at one revision; its owner locks it.
type Replica struct {
	revision int64
	items    map[string]item.Item
	// log lists writes in the order of their revisions; superseded ones are dropped now and then.
	log []write
	// compacted is the newest revision of a removal that is no longer remembered.
	compacted  int64
	tombstones int
}

type write struct {
	revision int64
	key      string
}

// New returns an empty catalog at revision 0.
func New() *Replica { return &Replica{items: map[string]item.Item{}} }

// Revision returns the revision up to which the catalog is complete.
func (c *Replica) Revision() int64 { return c.revision }

// Get returns an item, and whether the key is there; a removed key has revision 0, as in the store.
func (c *Replica) Get(key string) (item.Item, bool) {
	it, ok := c.items[key]
	if !ok || it.Tombstone {
		return item.Item{Key: key}, false
	}
	return it, true
}

// Len returns the number of keys, removed ones that are remembered included.
func (c *Replica) Len() int { return len(c.items) }

// Apply takes in changes that join on to what is known, and returns the items that are news.
//
// A run that ends at or before the catalog's revision is stale, and one that starts after it
// has a gap; both are left out.
func (c *Replica) Apply(ch delta.Delta) []item.Item {
	if ch.Revision <= c.revision || (!ch.Full && ch.BaseRevision > c.revision) {
		return nil
	}
	items := ch.Items
	if ch.Full {
		items = append(c.missing(ch), items...)
	}
	slices.SortStableFunc(items, func(a, b item.Item) int { return int(a.Revision - b.Revision) })
	var news []item.Item
	for _, it := range items {
		if c.put(it) {
			news = append(news, it)
		}
	}
	c.revision = ch.Revision
	c.compact()
	return news
}

// missing lists removals for the keys that a full listing no longer has.
func (c *Replica) missing(ch delta.Delta) []item.Item {
	have := make(map[string]bool, len(ch.Items))
	for _, it := range ch.Items {
		have[it.Key] = true
	}
	var out []item.Item
	for key, it := range c.items {
		if !it.Tombstone && !have[key] {
			out = append(out, item.Item{Key: key, Revision: ch.Revision, Tombstone: true})
		}
	}
	return out
}

func (c *Replica) put(it item.Item) bool {
	old, ok := c.items[it.Key]
	if ok && old.Revision >= it.Revision {
		return false
	}
	if ok && old.Tombstone {
		c.tombstones--
	}
	if it.Tombstone {
		c.tombstones++
	}
	c.items[it.Key] = it
	c.log = append(c.log, write{it.Revision, it.Key})
	return true
}

// Since returns the changes after a revision, at most limit of them.
func (c *Replica) Since(revision int64, limit int) delta.Delta {
	ch := delta.Delta{BaseRevision: revision, Revision: c.revision}
	if revision >= c.revision {
		return ch
	}
	if revision < c.compacted {
		return c.all()
	}
	i := sort.Search(len(c.log), func(i int) bool { return c.log[i].revision > revision })
	for ; i < len(c.log); i++ {
		w := c.log[i]
		if len(ch.Items) >= limit && w.revision > ch.Items[len(ch.Items)-1].Revision {
			ch.Revision = ch.Items[len(ch.Items)-1].Revision
			return ch
		}
		if it := c.items[w.key]; it.Revision == w.revision {
			ch.Items = append(ch.Items, it)
		}
	}
	return ch
}

func (c *Replica) all() delta.Delta {
	ch := delta.Delta{Revision: c.revision, Full: true}
	for _, w := range c.log {
		if it := c.items[w.key]; it.Revision == w.revision && !it.Tombstone {
			ch.Items = append(ch.Items, it)
		}
	}
	return ch
}

// compact drops superseded writes, and the oldest removals when there are many.
func (c *Replica) compact() {
	if len(c.log) < 2*len(c.items)+logSlack && c.tombstones <= tune.Tombstones {
		return
	}
	var keep []write
	for _, w := range c.log {
		it, ok := c.items[w.key]
		if !ok || it.Revision != w.revision {
			continue
		}
		if it.Tombstone && c.tombstones > tune.Tombstones/2 {
			delete(c.items, w.key)
			c.tombstones--
			c.compacted = max(c.compacted, w.revision)
			continue
		}
		keep = append(keep, w)
	}
	c.log = keep
}

// logSlack is how many superseded writes are kept before a compaction.
const logSlack = 256
