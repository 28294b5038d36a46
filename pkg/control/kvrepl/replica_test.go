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

func newItem(key string, rev revno.Revision) item.Item {
	return item.Item{Key: key, Revision: rev, Value: []byte(fmt.Sprint(rev))}
}

var _ = Describe("Replica", func() {
	for _, tc := range []struct {
		name     string
		next     delta.Delta
		revision revno.Revision
		a        revno.Revision
		changed  int
	}{
		{"applies a delta from its own revision", delta.Delta{BaseRevision: 5, Revision: 7, Items: []item.Item{newItem("a", 7)}}, 7, 7, 1},
		{"applies a delta that overlaps with what it has", delta.Delta{BaseRevision: 2, Revision: 8, Items: []item.Item{newItem("a", 3), newItem("a", 8)}}, 8, 8, 1},
		{"ignores a delta that leaves a gap", delta.Delta{BaseRevision: 6, Revision: 7, Items: []item.Item{newItem("a", 7)}}, 5, 3, 0},
		{"ignores a stale list", delta.Delta{Full: true, Revision: 4, Items: []item.Item{newItem("a", 2)}}, 5, 3, 0},
		{"keeps its own write if the one in a list is older", delta.Delta{Full: true, Revision: 9, Items: []item.Item{newItem("a", 2)}}, 9, 3, 0},
		{"removes the keys that a list no longer has", delta.Delta{Full: true, Revision: 9}, 9, 0, 1},
		{"replaces all by a list of a later era, whatever the numbers", delta.Delta{Full: true, Revision: revno.New(1, 2), Items: []item.Item{newItem("a", revno.New(1, 1))}}, revno.New(1, 2), revno.New(1, 1), 1},
		{"removes the keys that a list of a later era does not have", delta.Delta{Full: true, Revision: revno.New(1, 2)}, revno.New(1, 2), revno.New(1, 0), 1},
		{"ignores changes of a later era, as some before them are not known", delta.Delta{BaseRevision: 5, Revision: revno.New(1, 6), Items: []item.Item{newItem("a", revno.New(1, 6))}}, 5, 3, 0},
	} {
		It(tc.name, func() {
			r := kvrepl.New()
			r.Apply(delta.Delta{Full: true, Revision: 5, Items: []item.Item{newItem("a", 3)}})
			Expect(r.Apply(tc.next)).To(HaveLen(tc.changed))
			Expect(r.Revision()).To(Equal(tc.revision))
			a, _ := r.Get("a")
			Expect(a.Revision).To(Equal(tc.a))
		})
	}

	// A peer of the era before must not keep what the store has lost.
	It("sends all keys to a peer of an earlier era, and takes nothing of it", func() {
		r := kvrepl.New()
		r.Apply(delta.Delta{Full: true, Revision: revno.New(1, 5), Items: []item.Item{newItem("a", revno.New(1, 3))}})
		d := r.Since(9, 1)
		Expect([]bool{d.Full, len(d.Items) == 1, d.Revision == revno.New(1, 5)}).To(Equal([]bool{true, true, true}))
		Expect(r.Apply(delta.Delta{Full: true, Revision: 9, Items: []item.Item{newItem("lost", 9)}})).To(BeEmpty())
	})

	for _, tc := range []struct {
		name  string
		limit int
	}{{"one change at a time", 1}, {"three", 3}, {"all at once", 1000}} {
		It("sends a history of writes and removals to a peer, "+tc.name, func() {
			from, to := kvrepl.New(), kvrepl.New()
			for rev := revno.Revision(1); rev <= 9000; rev++ {
				w := newItem(fmt.Sprintf("k%d", rev%5000), rev)
				w.Tombstone = rev%3 == 0
				from.Apply(delta.Delta{BaseRevision: rev - 1, Revision: rev, Items: []item.Item{w}})
			}
			for to.Revision() < from.Revision() {
				before := to.Revision()
				to.Apply(from.Since(to.Revision(), tc.limit))
				Expect(to.Revision()).To(BeNumerically(">", before))
			}
			for i := range 5000 {
				a, _ := from.Get(fmt.Sprintf("k%d", i))
				b, _ := to.Get(fmt.Sprintf("k%d", i))
				Expect(b).To(Equal(a))
			}
		})
	}
})
