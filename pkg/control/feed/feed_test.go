package feed_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/feed"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/reply"
	"github.com/balsamvale/balsamvale/pkg/stored/verb"
)

var _ = Describe("Feed", func() {
	const waited = 2500 * time.Millisecond
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name  string
		reply reply.Response
		// fresh is whether the catalog counts as that of the store after the reply, and next the order that follows.
		fresh bool
		next  verb.Op
	}{
		{"a watch that brings news makes it fresh", reply.Response{Revision: 8, Applied: true, Items: []item.Item{{Key: "a", Revision: 8}}}, true, verb.Watch},
		{"a watch that brings none makes it fresh", reply.Response{Revision: 7, Applied: true}, true, verb.Watch},
		{"a watch whose history is gone does not, and a listing follows at once", reply.Response{Revision: 7, Applied: true, Compacted: true}, false, verb.List},
	} {
		It(tc.name, func() {
			f := feed.New(rand.New(rand.NewPCG(1, 1)))
			o, ok := f.Next(start, 1, 0)
			Expect(ok).To(BeTrue())
			Expect(o.Op).To(Equal(verb.List))
			f.HandleResponse(start, reply.Response{ID: 1, Revision: 7, Applied: true})
			o, _ = f.Next(start, 2, 7)
			Expect(o.Op).To(Equal(verb.Watch))
			now := start.Add(waited)
			r := tc.reply
			r.ID = 2
			f.HandleResponse(now, r)
			Expect(f.FreshAt(now).Equal(now)).To(Equal(tc.fresh))
			Expect(f.NeedsList()).To(Equal(tc.next == verb.List))
			if tc.next == verb.List {
				o, ok = f.Next(now, 3, 7)
				Expect(ok).To(BeTrue())
				Expect(o.Op).To(Equal(verb.List))
			}
		})
	}
})
