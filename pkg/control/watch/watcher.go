package watch

import (
	"math/rand/v2"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/backof"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
)

// Watcher issues one order at a time; control owns it.
type Watcher struct {
	rand    *rand.Rand
	backoff backof.Backoff
	// pending is the order under way; its ID is 0 when there is none.
	pending kvreq.Request
	relist  bool
	// listed are the pages of a listing so far, and base the revision of the first.
	listed []item.Item
	base   int64
	after  string
	// completeAt is when the store last answered with all that had changed.
	completeAt time.Time
	// sentAt is when the order under way was issued.
	sentAt time.Time
	// nextWatchAt puts the next watch off after news, so that it brings all that changes within a moment.
	nextWatchAt time.Time
	// failures counts the calls in a row that were not answered, and away is set from the first on.
	failures  int
	recovered bool
}

// New returns a feed that begins with a listing.
func New(rnd *rand.Rand) *Watcher { return &Watcher{rand: rnd, relist: true} }

// Next returns the next order once the last has ended, and whether there is one.
func (f *Watcher) Next(now time.Time, id uint64, upto int64) (kvreq.Request, bool) {
	if f.pending.ID != 0 || !f.backoff.Ready(now) || now.Before(f.nextWatchAt) {
		return kvreq.Request{}, false
	}
	o := kvreq.Request{ID: id, Op: kvop.Watch, Key: keys.ControlPrefix, SinceRevision: upto, Wait: tune.WatchTimeout}
	if f.relist {
		o = kvreq.Request{ID: id, Op: kvop.List, Key: keys.ControlPrefix, After: f.after}
	}
	f.pending = o
	f.sentAt = now
	return o, true
}

// Awaits reports whether a reply is for the order under way.
func (f *Watcher) Awaits(id uint64) bool { return f.pending.ID != 0 && f.pending.ID == id }

// HandleResponse takes in the outcome of the order, and returns the change it brings if any.
func (f *Watcher) HandleResponse(now time.Time, r kvresp.Response) (delta.Delta, bool) {
	o := f.pending
	f.pending = kvreq.Request{}
	if r.OutcomeUnknown || r.Revision < o.SinceRevision {
		f.backoff.Fail(now, f.rand)
		f.failures++
		return delta.Delta{}, false
	}
	f.recovered = f.failures > 0
	f.failures = 0
	f.backoff.Succeed()
	if r.Compacted {
		// The store has answered, but what this entry knows is older than all that the store still tells.
		f.relist = true
		return delta.Delta{}, false
	}
	f.completeAt = now
	if o.Op == kvop.List {
		return f.page(o, r)
	}
	if len(r.Items) > 0 {
		f.nextWatchAt = now.Add(tune.WatchPause)
	}
	return delta.Delta{Items: r.Items, BaseRevision: o.SinceRevision, Revision: r.Revision}, true
}

// page takes in one page of a listing.
func (f *Watcher) page(o kvreq.Request, r kvresp.Response) (delta.Delta, bool) {
	if o.After == "" {
		f.base, f.listed = r.Revision, nil
	}
	f.listed = append(f.listed, r.Items...)
	if r.More && len(r.Items) > 0 {
		f.after = r.Items[len(r.Items)-1].Key
		return delta.Delta{}, false
	}
	ch := delta.Delta{Items: f.listed, Revision: f.base, Full: true}
	f.relist, f.after, f.listed = false, "", nil
	return ch, true
}

// OutageBegan reports whether the last reply was the first in a row that failed.
func (f *Watcher) OutageBegan() bool { return f.failures == 1 }

// OutageEnded reports whether the last reply ended a time in which the store did not answer.
func (f *Watcher) OutageEnded() bool { return f.recovered }

// FreshAt returns the time at which the catalog was surely that of the store.
//
// A watch that waits hears of every change, but for a store that loses track of it: then it is fresh only when it ends.
func (f *Watcher) FreshAt(now time.Time) time.Time {
	if f.pending.Op == kvop.Watch && f.pending.ID != 0 && f.failures == 0 && now.Sub(f.sentAt) <= tune.WatchTimeout {
		return now
	}
	return f.completeAt
}

// NeedsList reports whether changes were missed, which only a listing brings back.
func (f *Watcher) NeedsList() bool { return f.relist }

// Healthy reports whether the store answered within the time of two watches.
func (f *Watcher) Healthy(now time.Time) bool {
	return !f.completeAt.IsZero() && now.Sub(f.completeAt) < 2*tune.WatchTimeout
}
