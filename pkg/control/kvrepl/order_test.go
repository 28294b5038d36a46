package kvrepl_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/kvrepl"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// A key whose last write is beyond the limit is in no part before that write, so the first part alone would lack it: an entry
// that starts among hundreds of others would be without the operators' configuration.
var _ = Describe("The changes for an empty replica", func() {
	It("are complete, whatever their number", func() {
		r := kvrepl.New()
		items := []item.Item{{Key: "configuration", Revision: 2000}}
		for i := range 1000 {
			items = append(items, item.Item{Key: fmt.Sprint("member-", i), Revision: revno.Revision(i + 1)})
		}
		r.Apply(delta.Delta{Full: true, Revision: 2000, Items: items})
		d := r.Since(0, 512)
		Expect(d.Full).To(BeTrue())
		Expect(d.Items).To(HaveLen(len(items)))
		fresh := kvrepl.New()
		fresh.Apply(d)
		_, ok := fresh.Get("configuration")
		Expect(ok).To(BeTrue())
	})
})

// The pages of a list are not of one revision: a key that is written between two pages comes with a higher revision than the
// list as a whole, and the watch after the list then returns changes of lower revisions.
var _ = Describe("A replica that was listed while keys were written", func() {
	for _, from := range []revno.Revision{99, 100, 101, 102, 103, 104, 105, 106} {
		It(fmt.Sprintf("leaves out no change after revision %d", from), func() {
			r := kvrepl.New()
			r.Apply(delta.Delta{Full: true, Revision: 100, Items: []item.Item{
				{Key: "a", Revision: 50}, {Key: "b", Revision: 105}, {Key: "c", Revision: 60}, {Key: "d", Revision: 100},
			}})
			r.Apply(delta.Delta{BaseRevision: 100, Revision: 104, Items: []item.Item{
				{Key: "e", Revision: 101}, {Key: "f", Revision: 102}, {Key: "c", Revision: 103}, {Key: "g", Revision: 104},
			}})
			r.Apply(delta.Delta{BaseRevision: 104, Revision: 106, Items: []item.Item{{Key: "b", Revision: 105}, {Key: "h", Revision: 106}}})
			want := map[string]revno.Revision{"d": 100, "e": 101, "f": 102, "c": 103, "g": 104, "b": 105, "h": 106}
			got := map[string]revno.Revision{}
			at := from
			for at < r.Revision() {
				d := r.Since(at, 2)
				Expect(d.Revision).To(BeNumerically(">", at))
				for _, it := range d.Items {
					got[it.Key] = it.Revision
				}
				at = d.Revision
			}
			for key, rev := range want {
				if rev > from {
					Expect(got).To(HaveKeyWithValue(key, rev))
				}
			}
		})
	}
})
