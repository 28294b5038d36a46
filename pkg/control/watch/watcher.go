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
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Watcher issues the list and watch requests that keep a replica up to date, one at a time.
//
// It is not safe for concurrent use.
type Watcher struct {
	// Pause is the pause after a watch that returned changes; 0 means tune.WatchPause. A longer one varies by half, so that the
	// watches of several entries do not end together.
	Pause time.Duration
	// Wait is how long a watch waits for a change; 0 means tune.WatchTimeout.
	Wait time.Duration
	// Renew ends the watch after one that was answered early, which proves less than the end of a wait, once the replica was last known
	// to match the store so long ago; 0 means that such a watch waits like others.
	Renew time.Duration

	rand    *rand.Rand
	backoff backof.Backoff
	// pending is the request that awaits its response; its ID is 0 when there is none.
	pending kvreq.Request
	// relist is set while a full list is needed, because nothing was listed yet or changes were missed.
	relist bool
	// listedItems are the items of the pages received so far, and listRevision the revision of the first page.
	listedItems  []item.Item
	listRevision revno.Revision
	// listSentAt is when the request for the first page was issued.
	listSentAt time.Time
	// after is the last key of the previous page, or empty for the first page.
	after string
	// freshAt is the latest time at which the replica is known to have matched the store.
	freshAt time.Time
	// answeredAt is when the last usable response came, or was due if it came late.
	answeredAt time.Time
	// sentAt is when the last request was issued.
	sentAt time.Time
	// early is set if the last watch was answered before the end of its wait, as far as is known.
	early bool
	// nextWatchAt delays the watch that follows a response with changes, so that one watch returns all changes
	// made within the delay.
	nextWatchAt time.Time
	// compactions counts the watches in a row whose history was gone.
	compactions int
	// failures counts the requests in a row whose outcome is unknown or whose response was out of date.
	failures int
	// interrupted is set from a failure until changes are returned again, and recovered if the last response returned the
	// first changes after a failure. outage is then how long before it the store had last answered.
	interrupted bool
	recovered   bool
	outage      time.Duration
}

// New returns a watcher whose first request is a list.
func New(rnd *rand.Rand) *Watcher { return &Watcher{rand: rnd, relist: true} }

// Next returns the next request, with the given ID, and whether one is due. None is due while another is pending,
// during a backoff, or during the delay after changes.
//
// A watch asks for the changes after the revision since, which is that of the replica. A list below it fails, as the replica would
// ignore it.
func (w *Watcher) Next(now time.Time, id uint64, since revno.Revision) (kvreq.Request, bool) {
	if w.pending.ID != 0 || !w.backoff.Ready(now) || now.Before(w.nextWatchAt) {
		return kvreq.Request{}, false
	}
	req := kvreq.Request{ID: id, Op: kvop.Watch, Key: keys.ControlPrefix, SinceRevision: since, Wait: w.wait(now)}
	if w.relist {
		req = kvreq.Request{ID: id, Op: kvop.List, Key: keys.ControlPrefix, After: w.after, SinceRevision: since}
	}
	w.pending = req
	w.sentAt = now
	return req, true
}

// Awaits reports whether the pending request has the given ID.
func (w *Watcher) Awaits(id uint64) bool { return w.pending.ID != 0 && w.pending.ID == id }

// HandleResponse processes the response to the pending request. It returns the changes, and whether there is a delta
// to apply: a watch without changes yields an empty delta; an incomplete list, a failed request and a compacted history
// yield none.
func (w *Watcher) HandleResponse(now time.Time, resp kvresp.Response) (delta.Delta, bool) {
	lastAnswered := w.answeredAt
	d, ok := w.handle(now, resp)
	w.recovered = ok && w.interrupted
	w.outage = now.Sub(lastAnswered)
	w.interrupted = w.interrupted && !ok
	return d, ok
}

// handle does the work of HandleResponse, apart from noticing the end of an outage.
func (w *Watcher) handle(now time.Time, resp kvresp.Response) (delta.Delta, bool) {
	req := w.pending
	w.pending = kvreq.Request{}
	if resp.OutcomeUnknown || resp.Revision < req.SinceRevision {
		// The same watch would fail again.
		w.relist = w.relist || resp.TooLarge
		w.backoff.Fail(now, w.rand)
		w.failures++
		w.interrupted = true
		return delta.Delta{}, false
	}
	w.failures = 0
	w.backoff.Succeed()
	if resp.Compacted {
		// The store answers, but no longer holds the changes since the revision of this entry. A second time in a row, as from servers of
		// the store that are of different eras, must not become a loop.
		w.relist = true
		if w.compactions++; w.compactions > 1 {
			w.backoff.Fail(now, w.rand)
		}
		return delta.Delta{}, false
	}
	if req.Op == kvop.List {
		return w.handlePage(req, resp)
	}
	w.compactions = 0
	respondedAt, waited := now, w.sentAt.Add(req.Wait)
	if !resp.RespondedAt.IsZero() {
		respondedAt = earlier(now, resp.RespondedAt)
	}
	w.answeredAt = earlier(respondedAt, waited)
	// The store decides what it reports after the watch was sent, but how long the response was on its way is not known. One without
	// changes was decided no earlier than at the end of the wait, unless it arrived before that.
	w.early = !resp.Waited || respondedAt.Before(waited)
	if w.early {
		w.setFresh(w.sentAt)
	} else {
		w.setFresh(waited)
	}
	if len(resp.Items) > 0 {
		w.nextWatchAt = now.Add(w.pause())
	}
	return delta.Delta{Items: resp.Items, BaseRevision: req.SinceRevision, Revision: resp.Revision}, true
}

// setFresh records that the replica matched the store at a time.
func (w *Watcher) setFresh(at time.Time) {
	if at.After(w.freshAt) {
		w.freshAt = at
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// wait returns how long the next watch waits.
func (w *Watcher) wait(now time.Time) time.Duration {
	whole := max(w.Wait, tune.WatchTimeout)
	if !w.early || w.Renew == 0 {
		return whole
	}
	return max(minWait, min(whole, w.freshAt.Add(w.Renew).Sub(now).Truncate(minWait)))
}

// minWait is the shortest wait, and the unit of waits.
const minWait = time.Millisecond

// pause returns the pause after a watch that returned changes.
func (w *Watcher) pause() time.Duration {
	if w.Pause <= tune.WatchPause {
		return tune.WatchPause
	}
	return w.Pause/2 + time.Duration(w.rand.Int64N(int64(w.Pause)))
}

// handlePage processes one page of a list, and returns the full delta once the last page has arrived.
func (w *Watcher) handlePage(req kvreq.Request, resp kvresp.Response) (delta.Delta, bool) {
	if req.After == "" {
		w.listRevision, w.listedItems, w.listSentAt = resp.Revision, nil, w.sentAt
	} else if resp.Revision.Era() != w.listRevision.Era() {
		// The store was restored between two pages.
		w.after, w.listedItems = "", nil
		return delta.Delta{}, false
	}
	w.listedItems = append(w.listedItems, resp.Items...)
	if resp.More && len(resp.Items) > 0 {
		w.after = resp.Items[len(resp.Items)-1].Key
		return delta.Delta{}, false
	}
	full := delta.Delta{Items: w.listedItems, Revision: w.listRevision, Full: true}
	w.relist, w.after, w.listedItems = false, "", nil
	w.answeredAt = w.listSentAt
	w.setFresh(w.listSentAt)
	return full, true
}

// OutageBegan reports whether exactly one request has failed since the last usable response.
func (w *Watcher) OutageBegan() bool { return w.failures == 1 }

// Failing reports whether the last request has failed.
func (w *Watcher) Failing() bool { return w.failures > 0 }

// OutageEnded reports whether the last response returned the first changes after one or more failed requests, and how long
// the store had been out of touch.
func (w *Watcher) OutageEnded() (length time.Duration, ended bool) { return w.outage, w.recovered }

// FreshAt returns the latest time at which the replica is known to have matched the store.
//
// A pending watch does not count, since the store cannot report a change to an entry that it does not reach.
func (w *Watcher) FreshAt() time.Time { return w.freshAt }

// NeedsList reports whether a full list is needed: before the first one, or after changes were missed.
func (w *Watcher) NeedsList() bool { return w.relist }

// Healthy reports whether the store answered a list or watch within twice tune.MaxWatchTimeout. A response that reports the
// history as compacted does not count.
func (w *Watcher) Healthy(now time.Time) bool {
	return !w.answeredAt.IsZero() && now.Sub(w.answeredAt) < 2*tune.MaxWatchTimeout
}
