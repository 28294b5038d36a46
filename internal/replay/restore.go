package replay

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// storageCopy is a copy of the store at one time.
type storageCopy struct {
	revision    revno.Revision
	items       map[string]item.Item
	keyLeases   map[string]int64
	lastLeaseID int64
}

// Times after a restoration of the store.
const (
	// writeAgainTime is when operators write again what was lost.
	writeAgainTime = 1500 * time.Millisecond
	// lapseTime is when the keys go whose leases are gone.
	lapseTime = 3 * time.Second
)

// copyStorage takes the copy that a later restore brings back.
func (st *storage) copyStorage() {
	st.copied = &storageCopy{st.revision, maps.Clone(st.items), maps.Clone(st.keyLeases), st.lastLeaseID}
}

// restore brings back the copy in a new era, without leases. Operators write again what was lost.
func (st *storage) restore() {
	c, era := st.copied, st.revision.Era()+1
	st.revision, st.history, st.lastLeaseID = revno.New(era, c.revision.Number()), nil, c.lastLeaseID
	st.items, st.keyLeases, st.leases = map[string]item.Item{}, maps.Clone(c.keyLeases), map[int64]time.Time{}
	for key, it := range c.items {
		it.Revision = revno.New(era, it.Revision.Number())
		st.items[key] = it
	}
	st.lapsed = map[int64]bool{}
	for _, id := range st.keyLeases {
		st.lapsed[id], st.leases[id] = true, st.sim.events.now.Add(lapseTime)
	}
	waiting := st.watchers
	st.watchers = nil
	for _, w := range waiting {
		w.done(kvresp.Response{OutcomeUnknown: true})
	}
	st.sim.events.after(writeAgainTime, func() {
		for _, key := range slices.Sorted(maps.Keys(st.written)) {
			last := st.written[key]
			if held := st.items[key]; strings.HasPrefix(key, keys.RecordPrefix) && string(held.Value) != string(last.Value) {
				st.put(item.Item{Key: key, Value: last.Value, Tombstone: last.Tombstone}, 0)
			}
		}
	})
}

// revisionOf returns the revision of a key, whose number is 0 if it does not exist.
func (st *storage) revisionOf(key string) revno.Revision {
	if it, ok := st.items[key]; ok {
		return it.Revision
	}
	return st.revision.Absent()
}

// refuse returns the response that the store's client gives to a request that names an earlier era, which it does not send.
func (st *storage) refuse(req kvreq.Request) (kvresp.Response, bool) {
	era := st.revision.Era()
	switch {
	case req.Op == kvop.Watch && req.SinceRevision.Era() != era:
		return kvresp.Response{ID: req.ID, Applied: true, Compacted: true, Revision: req.SinceRevision}, true
	case req.Op == kvop.CompareAndSwap && req.ExpectedRevision.Era() != era, req.LeaseID != 0 && req.LeaseEra != era:
		return kvresp.Response{ID: req.ID}, true
	}
	return kvresp.Response{}, false
}
