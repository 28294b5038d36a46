package replay

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// storage simulates the platform's key-value store.
type storage struct {
	sim      *Sim
	revision revno.Revision
	items    map[string]item.Item
	// history holds every change, in order of revision.
	history []item.Item
	// keyLeases maps keys to the lease that they were written under.
	keyLeases map[string]int64
	// leases maps the ID of each lease to its expiry.
	leases      map[int64]time.Time
	lastLeaseID int64
	watchers    []*watcher
	// copied is the copy that the next restore brings back, written the last write of each key, whatever was restored since, and lapsed
	// the set of leases that a restore has ended.
	copied  *storageCopy
	written map[string]item.Item
	lapsed  map[int64]bool
	down    bool
	// loseReplies makes a fraction of the responses get lost.
	loseReplies bool
	// reads and writes count the requests that have reached the store.
	reads  int
	writes int
}

// watcher is a watch request that has not been answered.
type watcher struct {
	req  kvreq.Request
	done func(kvresp.Response)
}

// storeDelay is the round-trip time of a store request.
const storeDelay = 3 * time.Millisecond

// newStorage returns an empty store.
func newStorage(s *Sim) *storage {
	return &storage{sim: s, items: map[string]item.Item{}, keyLeases: map[string]int64{}, leases: map[int64]time.Time{}, written: map[string]item.Item{}}
}

// submit carries out a request and calls done with the response.
//
// A request that cannot reach the store, or whose response is lost, ends with an unknown outcome after tune.StoreTimeout.
func (st *storage) submit(req kvreq.Request, unreachable func() bool, done func(kvresp.Response)) {
	fail := func() { done(kvresp.Response{ID: req.ID, OutcomeUnknown: true}) }
	if st.down || unreachable() {
		st.sim.events.after(tune.StoreTimeout, fail)
		return
	}
	st.sim.events.after(storeDelay/2, func() {
		if st.down {
			st.sim.events.after(tune.StoreTimeout, fail)
			return
		}
		if r, refused := st.refuse(req); refused {
			st.sim.events.after(storeDelay/2, func() { done(r) })
			return
		}
		if req.Op == kvop.Watch {
			st.reads++
			st.watch(req, unreachable, done)
			return
		}
		r := st.serve(req)
		r.ID = req.ID
		if st.loseReplies && st.sim.rand.Float64() < lostReplyFraction {
			st.sim.events.after(tune.StoreTimeout, fail)
			return
		}
		st.sim.events.after(storeDelay/2, func() { done(r) })
	})
}

// lostReplyFraction is the fraction of responses that get lost while loseReplies is set.
const lostReplyFraction = 0.2

// serve carries out any request but a watch.
func (st *storage) serve(req kvreq.Request) kvresp.Response {
	st.expire()
	switch req.Op {
	case kvop.Get:
		st.reads++
		it := st.items[req.Key]
		return kvresp.Response{Applied: true, Items: []item.Item{it}, Revision: st.revisionOf(req.Key)}
	case kvop.List:
		st.reads++
		return st.list(req)
	case kvop.Lease:
		st.writes++
		return st.lease(req)
	}
	st.writes++
	data, err := codec.Encode(req.Value)
	if err != nil {
		return kvresp.Response{OutcomeUnknown: true}
	}
	return st.compareAndSwap(item.Item{Key: req.Key, Value: data, Tombstone: req.Delete}, req.ExpectedRevision, req.LeaseID)
}

// compareAndSwap writes an item if its key is at the expected revision and the lease, if not 0, is alive.
func (st *storage) compareAndSwap(it item.Item, expected revno.Revision, lease int64) kvresp.Response {
	if st.revisionOf(it.Key) != expected {
		return kvresp.Response{Revision: st.revisionOf(it.Key)}
	}
	if _, ok := st.leases[lease]; lease != 0 && (!ok || st.lapsed[lease]) {
		return kvresp.Response{}
	}
	st.put(it, lease)
	return kvresp.Response{Applied: true, Revision: st.revision}
}

// put writes an item unconditionally under a lease, or under none when it is 0, and notifies the watchers.
func (st *storage) put(it item.Item, lease int64) {
	st.revision++
	it.Revision = st.revision
	delete(st.items, it.Key)
	delete(st.keyLeases, it.Key)
	if !it.Tombstone {
		st.items[it.Key] = it
	}
	if lease != 0 {
		st.keyLeases[it.Key] = lease
	}
	st.written[it.Key] = it
	st.history = append(st.history, it)
	st.notify()
}

// list returns the items after req.After whose keys have the prefix req.Key, sorted by key.
func (st *storage) list(req kvreq.Request) kvresp.Response {
	r := kvresp.Response{Applied: true, Revision: st.revision}
	for k, it := range st.items {
		if strings.HasPrefix(k, req.Key) && k > req.After {
			r.Items = append(r.Items, it)
		}
	}
	slices.SortFunc(r.Items, func(a, b item.Item) int { return cmp.Compare(a.Key, b.Key) })
	return r
}

// lease grants a new lease, or renews req.LeaseID unless it has expired.
func (st *storage) lease(req kvreq.Request) kvresp.Response {
	id := req.LeaseID
	if id == 0 {
		st.lastLeaseID++
		id = st.lastLeaseID
	} else if _, ok := st.leases[id]; !ok || st.lapsed[id] {
		return kvresp.Response{}
	}
	st.leases[id] = st.sim.events.now.Add(req.TTL)
	return kvresp.Response{Applied: true, LeaseID: id, LeaseEra: st.revision.Era()}
}

// expire removes the keys of leases that have expired, in the order of the keys.
func (st *storage) expire() {
	var expired []string
	for id, until := range st.leases {
		if st.sim.events.now.Before(until) {
			continue
		}
		delete(st.leases, id)
		for key, owner := range st.keyLeases {
			if owner == id {
				expired = append(expired, key)
			}
		}
	}
	slices.Sort(expired)
	for _, key := range expired {
		st.put(item.Item{Key: key, Tombstone: true}, 0)
	}
}

// watch answers a request once a key under its prefix has changed after its revision, or after req.Wait.
func (st *storage) watch(req kvreq.Request, unreachable func() bool, done func(kvresp.Response)) {
	w := &watcher{req: req}
	w.done = func(r kvresp.Response) {
		w.done = func(kvresp.Response) {}
		r.ID = req.ID
		// The response is also lost if the entry has been cut off from the store since the watch began.
		if unreachable() || st.loseReplies && st.sim.rand.Float64() < lostReplyFraction {
			st.sim.events.after(tune.StoreTimeout, func() { done(kvresp.Response{ID: req.ID, OutcomeUnknown: true}) })
			return
		}
		st.sim.events.after(storeDelay/2, func() { done(r) })
	}
	st.watchers = append(st.watchers, w)
	st.sim.events.after(req.Wait, func() {
		if st.down {
			w.done(kvresp.Response{OutcomeUnknown: true})
			return
		}
		w.done(kvresp.Response{Applied: true, Waited: true, Revision: st.revision})
	})
	st.notify()
}

// notify answers the watches that have changes to return.
func (st *storage) notify() {
	if st.down {
		return
	}
	var unanswered []*watcher
	for _, w := range st.watchers {
		items := st.since(w.req)
		if len(items) == 0 {
			unanswered = append(unanswered, w)
			continue
		}
		w.done(kvresp.Response{Applied: true, Items: items, Revision: st.revision})
	}
	st.watchers = unanswered
}

// since returns the changes after a revision to keys under a prefix.
func (st *storage) since(req kvreq.Request) []item.Item {
	var out []item.Item
	i, _ := slices.BinarySearchFunc(st.history, req.SinceRevision+1, func(it item.Item, rev revno.Revision) int {
		return cmp.Compare(it.Revision, rev)
	})
	for _, it := range st.history[i:] {
		if strings.HasPrefix(it.Key, req.Key) {
			out = append(out, it)
		}
	}
	return out
}
