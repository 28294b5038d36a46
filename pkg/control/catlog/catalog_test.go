package catlog_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/catlog"
	"github.com/balsamvale/balsamvale/pkg/stored/change"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

func it(key string, rev int64) item.Item {
	return item.Item{Key: key, Revision: rev, Value: []byte(fmt.Sprint(rev))}
}

var _ = Describe("Catalog", func() {
	for _, tc := range []struct {
		name string
		then change.Change
		upto int64
		a    int64
		news int
	}{
		{"takes what joins on", change.Change{Base: 5, Upto: 7, Items: []item.Item{it("a", 7)}}, 7, 7, 1},
		{"takes what overlaps", change.Change{Base: 2, Upto: 8, Items: []item.Item{it("a", 3), it("a", 8)}}, 8, 8, 1},
		{"leaves out a gap", change.Change{Base: 6, Upto: 7, Items: []item.Item{it("a", 7)}}, 5, 3, 0},
		{"leaves out a stale listing", change.Change{Full: true, Upto: 4, Items: []item.Item{it("a", 2)}}, 5, 3, 0},
		{"never takes an older write", change.Change{Full: true, Upto: 9, Items: []item.Item{it("a", 2)}}, 9, 3, 0},
		{"removes what a listing no longer has", change.Change{Full: true, Upto: 9}, 9, 0, 1},
	} {
		It(tc.name, func() {
			c := catlog.New()
			c.Install(change.Change{Full: true, Upto: 5, Items: []item.Item{it("a", 3)}})
			Expect(c.Install(tc.then)).To(HaveLen(tc.news))
			Expect(c.Upto()).To(Equal(tc.upto))
			a, _ := c.Get("a")
			Expect(a.Revision).To(Equal(tc.a))
		})
	}

	for _, tc := range []struct {
		name  string
		limit int
	}{{"one change at a time", 1}, {"three", 3}, {"all at once", 1000}} {
		It("passes a history of writes and removals on, "+tc.name, func() {
			from, to := catlog.New(), catlog.New()
			for rev := int64(1); rev <= 9000; rev++ {
				w := it(fmt.Sprintf("k%d", rev%5000), rev)
				w.Gone = rev%3 == 0
				from.Install(change.Change{Base: rev - 1, Upto: rev, Items: []item.Item{w}})
			}
			for to.Upto() < from.Upto() {
				before := to.Upto()
				to.Install(from.Since(to.Upto(), tc.limit))
				Expect(to.Upto()).To(BeNumerically(">", before))
			}
			for i := range 5000 {
				a, _ := from.Get(fmt.Sprintf("k%d", i))
				b, _ := to.Get(fmt.Sprintf("k%d", i))
				Expect(b).To(Equal(a))
			}
		})
	}
})
