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
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

var _ = Describe("A watcher of a store that is restored from an older copy", func() {
	now := time.Unix(1000, 0)
	// Pages of two eras together are the state of none.
	It("begins a list anew whose pages are of two eras", func() {
		w := watch.New(rand.New(rand.NewPCG(1, 1)))
		page := func(id uint64, after, key string, era int64, more bool) bool {
			req, ok := w.Next(now, id, 0)
			Expect(ok).To(BeTrue())
			Expect(req.After).To(Equal(after))
			_, done := w.HandleResponse(now, kvresp.Response{ID: id, Applied: true, Revision: revno.New(era, 9), More: more, Items: []item.Item{{Key: key}}})
			return done
		}
		Expect(page(1, "", "a", 0, true)).To(BeFalse())
		Expect(page(2, "a", "b", 1, false)).To(BeFalse())
		Expect(page(3, "", "a", 1, true)).To(BeFalse())
		Expect(page(4, "a", "b", 1, false)).To(BeTrue())
	})

	// Servers of the store that are of different eras would otherwise be asked in a loop, a few hundred times a second.
	It("pauses when the history is gone twice in a row", func() {
		w := watch.New(rand.New(rand.NewPCG(1, 1)))
		calls, at, since := 0, now, revno.New(1, 9)
		for id := uint64(1); at.Before(now.Add(time.Second)); at = at.Add(time.Millisecond) {
			req, ok := w.Next(at, id, since)
			if !ok {
				continue
			}
			calls++
			w.HandleResponse(at, kvresp.Response{ID: id, Applied: true, Revision: since, Compacted: req.Op == kvop.Watch})
			id++
		}
		Expect(calls).To(BeNumerically("<", 100))
	})
})
