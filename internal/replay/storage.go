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
)

// storage is a model of the platform's key-value service.
type storage struct {
	sim         *Sim
	revision    int64
	items       map[string]item.Item
	history     []item.Item
	keyLeases   map[string]int64
	leases      map[int64]time.Time
	nextID      int64
	watchers    []*watcher
	down        bool
	loseReplies bool
	reads       int
	writes      int
}

type watcher struct {
	order kvreq.Request
	done  func(kvresp.Response)
}

// storeDelay is the time of a call to the store and back.
const storeDelay = 3 * time.Millisecond

func newStorage(s *Sim) *storage {
	return &storage{sim: s, items: map[string]item.Item{}, keyLeases: map[string]int64{}, leases: map[int64]time.Time{}}
}

// do carries out an order and calls done with the reply, or with a failure after the timeout.
func (st *storage) do(o kvreq.Request, cut func() bool, done func(kvresp.Response)) {
	fail := func() { done(kvresp.Response{ID: o.ID, OutcomeUnknown: true}) }
	if st.down || cut() {
		st.sim.events.after(tune.StoreTimeout, fail)
		return
	}
	st.sim.events.after(storeDelay/2, func() {
		if st.down {
			st.sim.events.after(tune.StoreTimeout, fail)
			return
		}
		if o.Op == kvop.Watch {
			st.reads++
			st.watch(o, cut, done)
			return
		}
		r := st.serve(o)
		r.ID = o.ID
		if st.loseReplies && st.sim.rand.Float64() < lostPart {
			st.sim.events.after(tune.StoreTimeout, fail)
			return
		}
		st.sim.events.after(storeDelay/2, func() { done(r) })
	})
}

// lostPart is the share of answers that get lost while that fault lasts.
const lostPart = 0.2

func (st *storage) serve(o kvreq.Request) kvresp.Response {
	st.expire()
	switch o.Op {
	case kvop.Get:
		st.reads++
		it := st.items[o.Key]
		return kvresp.Response{Applied: true, Items: []item.Item{it}, Revision: it.Revision}
	case kvop.List:
		st.reads++
		return st.list(o)
	case kvop.Lease:
		st.writes++
		return st.lease(o)
	}
	st.writes++
	data, err := codec.Encode(o.Value)
	if err != nil {
		return kvresp.Response{OutcomeUnknown: true}
	}
	return st.swap(item.Item{Key: o.Key, Value: data, Tombstone: o.Delete}, o.ExpectedRevision, o.LeaseID)
}

func (st *storage) swap(it item.Item, expect, lease int64) kvresp.Response {
	if st.items[it.Key].Revision != expect {
		return kvresp.Response{Revision: st.items[it.Key].Revision}
	}
	if _, ok := st.leases[lease]; lease != 0 && !ok {
		return kvresp.Response{}
	}
	st.put(it, lease)
	return kvresp.Response{Applied: true, Revision: st.revision}
}

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
	st.history = append(st.history, it)
	st.notify()
}

func (st *storage) list(o kvreq.Request) kvresp.Response {
	r := kvresp.Response{Applied: true, Revision: st.revision}
	for k, it := range st.items {
		if strings.HasPrefix(k, o.Key) && k > o.After {
			r.Items = append(r.Items, it)
		}
	}
	slices.SortFunc(r.Items, func(a, b item.Item) int { return cmp.Compare(a.Key, b.Key) })
	return r
}

func (st *storage) lease(o kvreq.Request) kvresp.Response {
	id := o.LeaseID
	if id == 0 {
		st.nextID++
		id = st.nextID
	} else if _, ok := st.leases[id]; !ok {
		return kvresp.Response{}
	}
	st.leases[id] = st.sim.events.now.Add(o.TTL)
	return kvresp.Response{Applied: true, LeaseID: id}
}

// expire removes the keys of leases that have lapsed, in order.
func (st *storage) expire() {
	var lapsed []string
	for id, until := range st.leases {
		if st.sim.events.now.Before(until) {
			continue
		}
		delete(st.leases, id)
		for key, owner := range st.keyLeases {
			if owner == id {
				lapsed = append(lapsed, key)
			}
		}
	}
	slices.Sort(lapsed)
	for _, key := range lapsed {
		st.put(item.Item{Key: key, Tombstone: true}, 0)
	}
}

// watch waits for changes after a revision, or for the end of the order's patience.
func (st *storage) watch(o kvreq.Request, cut func() bool, done func(kvresp.Response)) {
	w := &watcher{order: o}
	w.done = func(r kvresp.Response) {
		w.done = func(kvresp.Response) {}
		r.ID = o.ID
		// A cut also loses the answer to a watch that began before it.
		if cut() || st.loseReplies && st.sim.rand.Float64() < lostPart {
			st.sim.events.after(tune.StoreTimeout, func() { done(kvresp.Response{ID: o.ID, OutcomeUnknown: true}) })
			return
		}
		st.sim.events.after(storeDelay/2, func() { done(r) })
	}
	st.watchers = append(st.watchers, w)
	st.sim.events.after(o.Wait, func() {
		if st.down {
			w.done(kvresp.Response{OutcomeUnknown: true})
			return
		}
		w.done(kvresp.Response{Applied: true, Revision: st.revision})
	})
	st.notify()
}

// notify answers the watches that changes concern.
func (st *storage) notify() {
	if st.down {
		return
	}
	var rest []*watcher
	for _, w := range st.watchers {
		items := st.since(w.order)
		if len(items) == 0 {
			rest = append(rest, w)
			continue
		}
		w.done(kvresp.Response{Applied: true, Items: items, Revision: st.revision})
	}
	st.watchers = rest
}

func (st *storage) since(o kvreq.Request) []item.Item {
	var out []item.Item
	i, _ := slices.BinarySearchFunc(st.history, o.SinceRevision+1, func(it item.Item, rev int64) int {
		return cmp.Compare(it.Revision, rev)
	})
	for _, it := range st.history[i:] {
		if strings.HasPrefix(it.Key, o.Key) {
			out = append(out, it)
		}
	}
	return out
}
