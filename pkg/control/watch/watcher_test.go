package watch_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/watch"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

var _ = Describe("Watcher", func() {
	start := time.Unix(1000, 0)
	changes := kvresp.Response{Revision: 8, Applied: true, Items: []item.Item{{Key: "a", Revision: 8}}}
	nothing := kvresp.Response{Revision: 7, Applied: true, Waited: true}
	arrived := func(r kvresp.Response, after time.Duration) kvresp.Response {
		r.RespondedAt = start.Add(after)
		return r
	}
	const listed, wait, early = -3 * time.Second, 2 * time.Second, 600 * time.Millisecond
	// Guards against an entry that ends calls with 404 since it takes its configuration for newer than it is: the store may have decided
	// what it reports at any time since the watch was sent, and the response may have been delayed on its way.
	for _, tc := range []struct {
		name     string
		response kvresp.Response
		// took is the time of the watch. fresh is the time after its start up to which the replica counts as fresh after the
		// response, and next the operation that follows.
		took, fresh time.Duration
		next        kvop.Op
	}{
		{"a watch with changes makes the replica fresh as of the request", changes, early, 0, kvop.Watch},
		{"a watch with changes that arrive after the wait does", changes, 2 * wait, 0, kvop.Watch},
		{"a watch with changes whose first part arrives after the wait does", arrived(changes, 2*wait), 3 * wait, 0, kvop.Watch},
		{"a watch with changes that took long to arrive does", arrived(changes, early), 3 * wait, 0, kvop.Watch},
		{"a watch without changes makes it fresh as of the end of the wait", nothing, wait, wait, kvop.Watch},
		{"a watch without changes that is delayed does", nothing, 2 * wait, wait, kvop.Watch},
		{"a watch without changes whose first part is delayed does", arrived(nothing, 2*wait), 3 * wait, wait, kvop.Watch},
		{"a watch without changes that ends early makes it fresh as of the request", nothing, early, 0, kvop.Watch},
		{"a watch without changes whose first part arrives early does", arrived(nothing, early), 2 * wait, 0, kvop.Watch},
		{"a watch whose changes are of no concern makes it fresh as of the request", kvresp.Response{Revision: 8, Applied: true}, 2 * wait, 0, kvop.Watch},
		{"a watch whose history is compacted does not, and a list follows at once", kvresp.Response{Revision: 7, Applied: true, Compacted: true}, wait, listed, kvop.List},
		{"a watch whose response is too large does not, and a list follows", kvresp.Response{OutcomeUnknown: true, TooLarge: true}, 100 * time.Millisecond, listed, kvop.List},
		{"a watch that fails does not, and a watch follows", kvresp.Response{OutcomeUnknown: true}, 100 * time.Millisecond, listed, kvop.Watch},
	} {
		It(tc.name, func() {
			w := watch.New(rand.New(rand.NewPCG(1, 1)))
			w.Wait = wait
			req, ok := w.Next(start.Add(listed), 1, 0)
			Expect(ok).To(BeTrue())
			Expect(req.Op).To(Equal(kvop.List))
			w.HandleResponse(start, kvresp.Response{ID: 1, Revision: 7, Applied: true})
			req, _ = w.Next(start, 2, 7)
			Expect(req.Op).To(Equal(kvop.Watch))
			Expect(req.Wait).To(Equal(wait))
			now := start.Add(tc.took)
			Expect(w.FreshAt()).To(Equal(start.Add(listed)), "a pending watch does not count")
			r := tc.response
			r.ID = 2
			w.HandleResponse(now, r)
			Expect(w.FreshAt().Sub(start)).To(Equal(tc.fresh))
			Expect(w.NeedsList()).To(Equal(tc.next == kvop.List))
			if tc.next == kvop.List {
				if r.OutcomeUnknown {
					now = now.Add(tune.MaxBackoff)
				}
				req, ok = w.Next(now, 3, 7)
				Expect(ok).To(BeTrue())
				Expect(req.Op).To(Equal(kvop.List))
			}
		})
	}

	// Guards against entries that answer 503 instead of 404, or turn to the store, since watches with changes prove little.
	for _, tc := range []struct {
		name     string
		response kvresp.Response
		took     time.Duration
		// renew is Renew of the watcher, and wait the wait of the next watch.
		renew, wait time.Duration
	}{
		{"a watch that waited is followed by one with the same wait", nothing, wait, wait, wait},
		{"a watch that waited and is delayed is followed by one with the same wait", nothing, 2 * wait, wait, wait},
		{"a watch with changes is followed by one that waits for the rest", changes, early, wait, wait - early - tune.WatchPause},
		{"a watch with changes is followed by one that waits for the rest of a shorter time", changes, early, time.Second, time.Second - early - tune.WatchPause},
		{"a watch with changes is followed by one with the same wait where nothing is renewed", changes, early, 0, wait},
		{"a watch with late changes is followed by one that waits no longer", changes, wait, wait, time.Millisecond},
		{"a watch with changes that are delayed is followed by one that waits no longer", changes, 2 * wait, wait, time.Millisecond},
		{"a watch without changes that ends early is followed by one that waits for the rest", nothing, early, wait, wait - early},
		{"a watch that fails is followed by one with the same wait", kvresp.Response{OutcomeUnknown: true}, wait, wait, wait},
	} {
		It(tc.name, func() {
			w := watch.New(rand.New(rand.NewPCG(1, 1)))
			w.Wait, w.Renew = wait, tc.renew
			w.Next(start, 1, 0)
			w.HandleResponse(start, kvresp.Response{ID: 1, Revision: 7, Applied: true})
			w.Next(start, 2, 7)
			r := tc.response
			r.ID = 2
			now := start.Add(tc.took)
			w.HandleResponse(now, r)
			var req kvreq.Request
			for ok := false; !ok; now = now.Add(tune.Tick) {
				req, ok = w.Next(now, 3, 8)
			}
			Expect(req.Wait).To(Equal(tc.wait))
		})
	}

	// Guards against an entry that takes its configuration for current by a list that its replica ignores, and so ends calls with 404.
	for _, tc := range []struct {
		name string
		// revisions are those of the pages of the list that follows a watch after revision 100, which is too large.
		revisions []revno.Revision
		fresh     bool
	}{
		{"a list below the revision of the replica does not make it fresh", []revno.Revision{90}, false},
		{"a list of two pages below the revision of the replica does not make it fresh", []revno.Revision{99, 101}, false},
		{"a list at the revision of the replica makes it fresh", []revno.Revision{100}, true},
		{"a list of two pages above the revision of the replica makes it fresh", []revno.Revision{101, 102}, true},
	} {
		It(tc.name, func() {
			w := watch.New(rand.New(rand.NewPCG(1, 1)))
			now, id := start, uint64(0)
			respond := func(op kvop.Op, r kvresp.Response) bool {
				id++
				req, ok := w.Next(now, id, 100)
				Expect(ok).To(BeTrue())
				Expect(req.Op).To(Equal(op))
				now = now.Add(time.Millisecond)
				r.ID = id
				_, ok = w.HandleResponse(now, r)
				return ok
			}
			Expect(respond(kvop.List, kvresp.Response{Revision: 100, Applied: true})).To(BeTrue())
			Expect(respond(kvop.Watch, kvresp.Response{OutcomeUnknown: true, TooLarge: true})).To(BeFalse())
			now = now.Add(tune.MaxBackoff)
			listed, done := now, false
			for i, revision := range tc.revisions {
				more := i+1 < len(tc.revisions)
				done = respond(kvop.List, kvresp.Response{Revision: revision, Applied: true, More: more, Items: []item.Item{{Key: "a", Revision: 9}}})
				if !tc.fresh {
					break
				}
				Expect(done).To(Equal(!more))
			}
			if tc.fresh {
				Expect(w.FreshAt()).To(Equal(listed))
			} else {
				Expect(w.FreshAt()).To(Equal(start))
			}
			Expect(done).To(Equal(tc.fresh))
			Expect(w.NeedsList()).To(Equal(!tc.fresh))
			Expect(w.Failing()).To(Equal(!tc.fresh))
		})
	}
})
