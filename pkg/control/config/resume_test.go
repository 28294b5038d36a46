package config_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/config"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// rolloutsInForce describes the rollouts of a configuration: name, share and phase, and how long before the restoration they started.
func rolloutsInForce(c *config.Config) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(c.Rollouts)) {
		text := name
		if p := c.Progress[name]; p != nil {
			text += fmt.Sprintf(" %d %v", p.Permille, p.Phase)
		}
		if c.Rollouts[name].Start.Equal(start) {
			text += " as before"
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ")
}

// Guards against a rollout that has ended and is carried out again, to a version that fails or away from the only one that has upstreams,
// because its order was written again at another revision after the store was restored, or was lost for some seconds.
var _ = Describe("The order of a rollout after the store was restored", func() {
	// restoredAt is the time of the first list of era 2, which is of revision 52; the copy is of revision 50.
	const restoredAt, list = 10 * time.Second, 52
	// moment is a time after the restoration, with what the store tells then and what is in force after it.
	type moment struct {
		at   time.Duration
		news []item.Item
		want string
	}
	const key, beforeGrace, afterGrace, afterEnd = "rec/request/s", 3 * time.Second, 5 * time.Second, 61 * time.Second
	missing := func(keys ...string) (out []item.Item) {
		for _, k := range keys {
			out = append(out, stored(2, list, k, ""))
		}
		return out
	}
	lost := func(progress string) []item.Item {
		return []item.Item{stored(1, 55, key, "v2"), stored(1, 60, "move/s/55", progress)}
	}
	inCopy := func(progress string) []item.Item {
		return []item.Item{stored(1, 30, key, "v2"), stored(1, 45, "move/s/30", progress)}
	}
	for _, tc := range []struct {
		name           string
		before, listed []item.Item
		moments        []moment
	}{
		// Done.
		{"done, lost, and written again before the list", lost("1000 9 done"), append(missing("move/s/55"), stored(2, 51, key, "v2")), []moment{
			{0, nil, "s/51 1000 done as before"}, {afterGrace, nil, "s/51 1000 done as before"}, {afterEnd, nil, "s/51 1000 done as before"},
		}},
		{"done, lost, and written again before the list at a higher revision", []item.Item{stored(1, 51, key, "v2"), stored(1, 60, "move/s/51", "1000 9 done")}, append(missing("move/s/51"), stored(2, 52, key, "v2")), []moment{
			{0, nil, "s/52 1000 done as before"}, {afterGrace, nil, "s/52 1000 done as before"}, {afterEnd, nil, "s/52 1000 done as before"},
		}},
		{"done, lost, and written again before the list at the same revision", []item.Item{stored(1, 52, key, "v2"), stored(1, 60, "move/s/52", "1000 9 done")}, append(missing("move/s/52"), stored(2, 52, key, "v2")), []moment{
			{0, nil, "s/52 1000 done as before"}, {afterGrace, nil, "s/52 1000 done as before"},
		}},
		{"done, lost, and written again after the list", lost("1000 9 done"), missing(key, "move/s/55"), []moment{
			{0, nil, "s/55 1000 done as before"}, {time.Second, []item.Item{stored(2, 53, key, "v2")}, "s/53 1000 done as before"}, {afterGrace, nil, "s/53 1000 done as before"}, {afterEnd, nil, "s/53 1000 done as before"},
		}},
		{"done, lost, and written again late", lost("1000 9 done"), missing(key, "move/s/55"), []moment{
			{afterGrace, nil, "s/55 1000 done as before"}, {afterGrace + time.Second, []item.Item{stored(2, 53, key, "v2")}, "s/53 1000 done as before"}, {afterEnd, nil, "s/53 1000 done as before"},
		}},
		{"done, lost, and never written again", lost("1000 9 done"), missing(key, "move/s/55"), []moment{
			{afterGrace, nil, "s/55 1000 done as before"}, {afterEnd, nil, ""},
		}},
		{"done, in the copy as before", inCopy("1000 9 done"), []item.Item{stored(2, 30, key, "v2"), stored(2, 45, "move/s/30", "1000 9 done")}, []moment{
			{0, nil, "s/30 1000 done as before"}, {afterEnd, nil, "s/30 1000 done as before"},
		}},
		{"done, in the copy without its end", []item.Item{stored(1, 30, key, "v2"), stored(1, 60, "move/s/30", "1000 9 done")}, []item.Item{stored(2, 30, key, "v2"), stored(2, 45, "move/s/30", "400 8")}, []moment{
			{0, nil, "s/30 1000 done as before"}, {afterGrace, nil, "s/30 1000 done as before"},
		}},
		{"done, in the copy, and written again all the same", inCopy("1000 9 done"), []item.Item{stored(2, 30, key, "v2"), stored(2, 45, "move/s/30", "1000 9 done")}, []moment{
			{time.Second, []item.Item{stored(2, 53, key, "v2")}, "s/53 1000 done as before"}, {afterEnd, nil, "s/53 1000 done as before"},
		}},
		{"done, in the copy, and written again all the same before the list", inCopy("1000 9 done"), []item.Item{stored(2, 51, key, "v2"), stored(2, 45, "move/s/30", "1000 9 done")}, []moment{
			{0, nil, "s/51 1000 done as before"}, {afterEnd, nil, "s/51 1000 done as before"},
		}},
		{"done, in the copy, and written again all the same, late", inCopy("1000 9 done"), []item.Item{stored(2, 30, key, "v2"), stored(2, 45, "move/s/30", "1000 9 done")}, []moment{
			{afterGrace, []item.Item{stored(2, 53, key, "v2")}, "s/53 1000 done as before"},
		}},
		{"done, in the copy, written again and then ordered anew", inCopy("1000 9 done"), []item.Item{stored(2, 30, key, "v2"), stored(2, 45, "move/s/30", "1000 9 done")}, []moment{
			{time.Second, []item.Item{stored(2, 53, key, "v2")}, "s/53 1000 done as before"}, {2 * time.Second, []item.Item{stored(2, 54, key, "v2")}, "s/54"},
		}},
		{"done, lost, written again and then ordered anew", lost("1000 9 done"), missing(key, "move/s/55"), []moment{
			{time.Second, []item.Item{stored(2, 53, key, "v2")}, "s/53 1000 done as before"}, {2 * time.Second, []item.Item{stored(2, 54, key, "v2")}, "s/54"},
		}},
		{"done, in the copy, and ordered anew after the transition", inCopy("1000 9 done"), []item.Item{stored(2, 30, key, "v2"), stored(2, 45, "move/s/30", "1000 9 done")}, []moment{
			{afterEnd, []item.Item{stored(2, 90, key, "v2")}, "s/90"},
		}},
		{"done, written again, and begun anew by an entry that knows the copy alone", lost("1000 9 done"), append(missing("move/s/55"), stored(2, 51, key, "v2")), []moment{
			{time.Second, []item.Item{stored(2, 53, "move/s/51", "20 30")}, "s/51 1000 done as before"}, {afterGrace, nil, "s/51 1000 done as before"},
		}},
		{"done, written again, and its progress too", lost("1000 9 done"), append(missing("move/s/55"), stored(2, 51, key, "v2")), []moment{
			{time.Second, []item.Item{stored(2, 53, "move/s/51", "1000 9 done")}, "s/51 1000 done as before"}, {afterEnd, nil, "s/51 1000 done as before"},
		}},
		// Rolled back.
		{"rolled back, lost, and written again before the list", lost("0 9 reverted"), append(missing("move/s/55"), stored(2, 51, key, "v2")), []moment{
			{0, nil, "s/51 0 reverted as before"}, {afterEnd, nil, "s/51 0 reverted as before"},
		}},
		{"rolled back, lost, and written again late", lost("0 9 reverted"), missing(key, "move/s/55"), []moment{
			{afterGrace, nil, "s/55 0 reverted as before"}, {afterGrace + time.Second, []item.Item{stored(2, 53, key, "v2")}, "s/53 0 reverted as before"},
		}},
		{"rolled back, in the copy without its end", []item.Item{stored(1, 30, key, "v2"), stored(1, 60, "move/s/30", "0 9 reverted")}, []item.Item{stored(2, 30, key, "v2"), stored(2, 45, "move/s/30", "400 8")}, []moment{
			{0, nil, "s/30 0 reverted as before"}, {afterGrace, nil, "s/30 0 reverted as before"},
		}},
		{"rolled back, in the copy, and written again all the same", inCopy("0 9 reverted"), []item.Item{stored(2, 30, key, "v2"), stored(2, 45, "move/s/30", "0 9 reverted")}, []moment{
			{time.Second, []item.Item{stored(2, 53, key, "v2")}, "s/53 0 reverted as before"},
		}},
		{"rolled back, and tried again at once in the same era", []item.Item{stored(1, 30, key, "v2"), stored(1, 45, "move/s/30", "0 9 reverted"), stored(1, 46, key, "v2")}, []item.Item{stored(2, 46, key, "v2"), stored(2, 45, "move/s/30", "0 9 reverted")}, []moment{
			{0, nil, "s/46 as before"},
		}},
		// Running.
		{"running, lost, and written again before the list", lost("250 9"), append(missing("move/s/55"), stored(2, 51, key, "v2")), []moment{
			{0, nil, "s/51 250 moving as before"}, {afterGrace, nil, "s/51 250 moving as before"},
		}},
		{"running, lost, and written again after the list", lost("250 9"), missing(key, "move/s/55"), []moment{
			{beforeGrace, []item.Item{stored(2, 53, key, "v2")}, "s/53 250 moving as before"}, {afterGrace, nil, "s/53 250 moving as before"},
		}},
		{"running, lost, and written again late", lost("250 9"), missing(key, "move/s/55"), []moment{
			{afterGrace, nil, "s/55 250 moving as before"}, {afterGrace + time.Second, []item.Item{stored(2, 53, key, "v2")}, "s/53 250 moving as before"},
		}},
		{"running, written again, and begun anew by an entry that knows the copy alone", lost("250 9"), append(missing("move/s/55"), stored(2, 51, key, "v2")), []moment{
			{time.Second, []item.Item{stored(2, 53, "move/s/51", "20 30")}, "s/51 250 moving as before"}, {2 * time.Second, []item.Item{stored(2, 54, "move/s/51", "400 31")}, "s/51 400 moving as before"},
		}},
		{"ordered, not begun, lost, and written again before the list", []item.Item{stored(1, 55, key, "v2")}, []item.Item{stored(2, 51, key, "v2")}, []moment{
			{0, nil, "s/51 as before"}, {afterEnd, nil, "s/51 as before"},
		}},
		// Other orders of the same service.
		{"done, lost, while the copy has the order before it", []item.Item{stored(1, 20, key, "v1"), stored(1, 29, "move/s/20", "1000 5 done"), stored(1, 55, key, "v2"), stored(1, 60, "move/s/55", "1000 9 done")},
			append(missing("move/s/55"), stored(2, 20, key, "v1"), stored(2, 29, "move/s/20", "1000 5 done")), []moment{
				{0, nil, "s/55 1000 done as before"}, {afterGrace, nil, "s/55 1000 done as before"}, {afterGrace + time.Second, []item.Item{stored(2, 53, key, "v2")}, "s/53 1000 done as before"},
			}},
		{"done, while the list has another order that this entry never knew", lost("1000 9 done"), append(missing("move/s/55"), stored(2, 51, key, "v3")), []moment{
			{beforeGrace, nil, "s/55 1000 done as before"}, {afterGrace, nil, "s/51"},
		}},
		{"done, and another order is written anew", lost("1000 9 done"), missing(key, "move/s/55"), []moment{
			{time.Second, []item.Item{stored(2, 53, key, "v3")}, "s/53"},
		}},
		{"removed, and in the copy", []item.Item{stored(1, 30, key, "v2"), stored(1, 60, key, "")}, []item.Item{stored(2, 30, key, "v2")}, []moment{
			{afterGrace, nil, ""}, {afterGrace + time.Second, []item.Item{stored(2, 53, key, "")}, ""}, {afterEnd, nil, ""},
		}},
	} {
		It("is carried out once: "+tc.name, func() {
			c := config.New("e", "za", decodeText)
			for _, it := range tc.before {
				c.Apply(start, it, true)
			}
			at := start.Add(restoredAt)
			c.Restored(at, revno.New(2, list), tc.listed)
			// The list comes by ascending revision.
			slices.SortStableFunc(tc.listed, func(a, b item.Item) int { return int(a.Revision - b.Revision) })
			for _, it := range tc.listed {
				c.Apply(at, it, true)
			}
			for _, m := range tc.moments {
				c.ApplyDeferred(at.Add(m.at))
				for _, it := range m.news {
					c.Apply(at.Add(m.at), it, true)
				}
				Expect(rolloutsInForce(c)).To(Equal(m.want), fmt.Sprint("after ", m.at))
			}
		})
	}

	// The store holds the order again before the progress, which entries have to write.
	It("has progress to write again until the store holds it", func() {
		c := config.New("e", "za", decodeText)
		for _, it := range lost("1000 9 done") {
			c.Apply(start, it, true)
		}
		listed := append(missing("move/s/55"), stored(2, 51, key, "v2"))
		c.Restored(start, revno.New(2, list), listed)
		for _, it := range listed {
			c.Apply(start, it, true)
		}
		Expect(c.IsKept(keys.Rollout("s/51"))).To(BeTrue())
		Expect(c.Predecessors("s/51")).To(Equal([]string{"s/55"}))
		c.Apply(start, stored(2, 53, "move/s/51", "20 30"), true)
		Expect(c.IsKept(keys.Rollout("s/51"))).To(BeTrue())
		c.Apply(start, stored(2, 54, "move/s/51", "1000 9 done"), true)
		Expect(c.IsKept(keys.Rollout("s/51"))).To(BeFalse())
	})
})
