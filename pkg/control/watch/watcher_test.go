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

var _ = Describe("Feed", func() {
	const waited = 2500 * time.Millisecond
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name  string
		reply kvresp.Response
		// fresh is whether the catalog counts as that of the store after the reply, and next the order that follows.
		fresh bool
		next  kvop.Op
	}{
		{"a watch that brings news makes it fresh", kvresp.Response{Revision: 8, Applied: true, Items: []item.Item{{Key: "a", Revision: 8}}}, true, kvop.Watch},
		{"a watch that brings none makes it fresh", kvresp.Response{Revision: 7, Applied: true}, true, kvop.Watch},
		{"a watch whose history is gone does not, and a listing follows at once", kvresp.Response{Revision: 7, Applied: true, Compacted: true}, false, kvop.List},
	} {
		It(tc.name, func() {
			f := watch.New(rand.New(rand.NewPCG(1, 1)))
			o, ok := f.Next(start, 1, 0)
			Expect(ok).To(BeTrue())
			Expect(o.Op).To(Equal(kvop.List))
			f.HandleResponse(start, kvresp.Response{ID: 1, Revision: 7, Applied: true})
			o, _ = f.Next(start, 2, 7)
			Expect(o.Op).To(Equal(kvop.Watch))
			now := start.Add(waited)
			r := tc.reply
			r.ID = 2
			f.HandleResponse(now, r)
			Expect(f.FreshAt(now).Equal(now)).To(Equal(tc.fresh))
			Expect(f.NeedsList()).To(Equal(tc.next == kvop.List))
			if tc.next == kvop.List {
				o, ok = f.Next(now, 3, 7)
				Expect(ok).To(BeTrue())
				Expect(o.Op).To(Equal(kvop.List))
			}
		})
	}
})
