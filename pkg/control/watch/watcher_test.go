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
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
)

var _ = Describe("Watcher", func() {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name     string
		response kvresp.Response
		// took is the time of the watch. fresh is the time after its start up to which the replica counts as fresh after the
		// response, and next the operation that follows.
		took, fresh time.Duration
		next        kvop.Op
	}{
		{"a watch with changes makes the replica fresh", kvresp.Response{Revision: 8, Applied: true, Items: []item.Item{{Key: "a", Revision: 8}}}, 600 * time.Millisecond, 600 * time.Millisecond, kvop.Watch},
		{"a watch without changes makes the replica fresh", kvresp.Response{Revision: 7, Applied: true}, tune.WatchTimeout, tune.WatchTimeout, kvop.Watch},
		{"a response that is delayed makes it fresh up to the end of the wait", kvresp.Response{Revision: 7, Applied: true}, 1800 * time.Millisecond, tune.WatchTimeout, kvop.Watch},
		{"a response that took long to arrive makes it fresh up to its first part", kvresp.Response{Revision: 8, Applied: true, Items: []item.Item{{Key: "a", Revision: 8}}, RespondedAt: start.Add(100 * time.Millisecond)}, 900 * time.Millisecond, 100 * time.Millisecond, kvop.Watch},
		{"a response whose first part is delayed makes it fresh up to the end of the wait", kvresp.Response{Revision: 7, Applied: true, RespondedAt: start.Add(1700 * time.Millisecond)}, 1800 * time.Millisecond, tune.WatchTimeout, kvop.Watch},
		{"a response does not make it fresh at a later time than its own", kvresp.Response{Revision: 8, Applied: true, RespondedAt: start.Add(700 * time.Millisecond)}, 600 * time.Millisecond, 600 * time.Millisecond, kvop.Watch},
		{"a watch whose history is compacted does not, and a list follows at once", kvresp.Response{Revision: 7, Applied: true, Compacted: true}, tune.WatchTimeout, 0, kvop.List},
		{"a watch whose response is too large does not, and a list follows", kvresp.Response{OutcomeUnknown: true, TooLarge: true}, 100 * time.Millisecond, 0, kvop.List},
		{"a watch that fails does not, and a watch follows", kvresp.Response{OutcomeUnknown: true}, 100 * time.Millisecond, 0, kvop.Watch},
	} {
		It(tc.name, func() {
			w := watch.New(rand.New(rand.NewPCG(1, 1)))
			req, ok := w.Next(start, 1, 0)
			Expect(ok).To(BeTrue())
			Expect(req.Op).To(Equal(kvop.List))
			w.HandleResponse(start, kvresp.Response{ID: 1, Revision: 7, Applied: true})
			req, _ = w.Next(start, 2, 7)
			Expect(req.Op).To(Equal(kvop.Watch))
			now := start.Add(tc.took)
			Expect(w.FreshAt()).To(Equal(start), "a pending watch does not count")
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

	// Guards against an entry that takes its configuration for current by a list that its replica ignores, and so ends calls with 404.
	for _, tc := range []struct {
		name string
		// revisions are those of the pages of the list that follows a watch after revision 100, which is too large.
		revisions []int64
		fresh     bool
	}{
		{"a list below the revision of the replica does not make it fresh", []int64{90}, false},
		{"a list of two pages below the revision of the replica does not make it fresh", []int64{99, 101}, false},
		{"a list at the revision of the replica makes it fresh", []int64{100}, true},
		{"a list of two pages above the revision of the replica makes it fresh", []int64{101, 102}, true},
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
