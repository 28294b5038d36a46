package watch_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/watch"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
)

// The first response after an outage of the store may bring no changes: the history is compacted, or a page is not the last.
// The removals that come with the changes after it are those of the outage all the same.
var _ = Describe("The end of an outage", func() {
	page := kvresp.Response{Revision: 9, Applied: true, Items: []item.Item{{Key: "c/a", Revision: 9}}}
	more := page
	more.More = true
	for _, tc := range []struct {
		name      string
		responses []kvresp.Response
	}{
		{"at a watch", []kvresp.Response{page}},
		{"at a compacted watch", []kvresp.Response{{Revision: 5, Compacted: true, Applied: true}, page}},
		{"at a compacted watch, with a list of two pages", []kvresp.Response{{Revision: 5, Compacted: true, Applied: true}, more, page}},
		{"at a compacted watch, with another failure before the list", []kvresp.Response{{Revision: 5, Compacted: true, Applied: true}, {OutcomeUnknown: true}, page}},
	} {
		It("is reported with the first changes: "+tc.name, func() {
			w := watch.New(rand.New(rand.NewPCG(1, 1)))
			now, id := time.Unix(1000, 0), uint64(0)
			respond := func(r kvresp.Response) (ended, ok bool) {
				id++
				for {
					if _, due := w.Next(now, id, 5); due {
						break
					}
					now = now.Add(10 * time.Millisecond)
				}
				r.ID = id
				_, ok = w.HandleResponse(now, r)
				_, ended = w.OutageEnded()
				return ended, ok
			}
			ended, ok := respond(page)
			Expect(ok).To(BeTrue())
			Expect(ended).To(BeFalse())
			_, ok = respond(kvresp.Response{OutcomeUnknown: true})
			Expect(ok).To(BeFalse())
			for i, r := range tc.responses {
				ended, ok = respond(r)
				Expect(ok).To(Equal(i == len(tc.responses)-1))
			}
			Expect(ended).To(BeTrue())
			ended, _ = respond(page)
			Expect(ended).To(BeFalse())
		})
	}
})
