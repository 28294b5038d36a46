package watch_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/watch"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
)

var _ = Describe("Watcher", func() {
	const watchTime = 2500 * time.Millisecond
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name     string
		response kvresp.Response
		// fresh is whether the replica counts as fresh after the response, and next the operation that follows.
		fresh bool
		next  kvop.Op
	}{
		{"a watch with changes makes the replica fresh", kvresp.Response{Revision: 8, Applied: true, Items: []item.Item{{Key: "a", Revision: 8}}}, true, kvop.Watch},
		{"a watch without changes makes the replica fresh", kvresp.Response{Revision: 7, Applied: true}, true, kvop.Watch},
		{"a watch whose history is compacted does not, and a list follows at once", kvresp.Response{Revision: 7, Applied: true, Compacted: true}, false, kvop.List},
	} {
		It(tc.name, func() {
			w := watch.New(rand.New(rand.NewPCG(1, 1)))
			req, ok := w.Next(start, 1, 0)
			Expect(ok).To(BeTrue())
			Expect(req.Op).To(Equal(kvop.List))
			w.HandleResponse(start, kvresp.Response{ID: 1, Revision: 7, Applied: true})
			req, _ = w.Next(start, 2, 7)
			Expect(req.Op).To(Equal(kvop.Watch))
			now := start.Add(watchTime)
			r := tc.response
			r.ID = 2
			w.HandleResponse(now, r)
			Expect(w.FreshAt(now).Equal(now)).To(Equal(tc.fresh))
			Expect(w.NeedsList()).To(Equal(tc.next == kvop.List))
			if tc.next == kvop.List {
				req, ok = w.Next(now, 3, 7)
				Expect(ok).To(BeTrue())
				Expect(req.Op).To(Equal(kvop.List))
			}
		})
	}
})
