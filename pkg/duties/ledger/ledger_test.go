package ledger_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/duties/decis"
	"github.com/balsamvale/balsamvale/pkg/duties/handov"
	"github.com/balsamvale/balsamvale/pkg/duties/ledger"
	"github.com/balsamvale/balsamvale/pkg/duties/usage"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

const (
	length = 5 * time.Second
	late   = 10 * time.Second
	first  = 200
)

// at returns a time after the end of window first.
func at(d time.Duration) time.Time { return time.Unix((first+1)*5, 0).Add(d) }

// counts returns the handover of an entry with calls of account "a" in windows from first on.
func counts(from string, calls ...int64) handov.Handover {
	h := handov.Handover{From: from}
	for i, n := range calls {
		h.Usages = append(h.Usages, usage.Usage{Window: first + int64(i), Counts: map[string]int64{"a": n}})
	}
	return h
}

// leaving returns the handover of an entry that ends.
func leaving(h handov.Handover) handov.Handover {
	h.Leaving = true
	return h
}

// Guards against counts that are lost or counted twice, and against a window that is decided too early or never.
var _ = Describe("What is decided for a window", func() {
	for _, tc := range []struct {
		name    string
		entries int
		// handovers come in this order, and the decision is asked for at a time after the end of the window.
		handovers []handov.Handover
		at        time.Duration
		// to is the last window that is decided, and sums are the calls in the decided windows.
		to   int64
		sums []int64
	}{
		{"waits for the settling of the counts", 2, []handov.Handover{counts("x.1", 3), counts("y.1", 4)}, 500 * time.Millisecond, first - 1, nil},
		{"is the sum of all entries", 2, []handov.Handover{counts("x.1", 3), counts("y.1", 4)}, 1100 * time.Millisecond, first, []int64{7}},
		{"counts what is handed over again once", 2, []handov.Handover{counts("x.1", 3), counts("x.1", 5), counts("y.1", 4)}, 1100 * time.Millisecond, first, []int64{9}},
		{"counts an entry before and after its restart", 2, []handov.Handover{counts("x.1", 3), counts("x.2", 5)}, 1100 * time.Millisecond, first, []int64{8}},
		{"waits for a missing entry", 3, []handov.Handover{counts("x.1", 3), counts("y.1", 4)}, 5 * time.Second, first - 1, nil},
		{"does without a missing entry before it is due", 3, []handov.Handover{counts("x.1", 3), counts("y.1", 4)}, 6100 * time.Millisecond, first, []int64{7}},
		{"does not take one that has ended for one that is missing", 2, []handov.Handover{leaving(counts("x.1", 3)), counts("y.1", 4)}, 1100 * time.Millisecond, first - 1, nil},
		{"has the counts of one that has ended", 1, []handov.Handover{leaving(counts("x.1", 3)), counts("y.1", 4)}, 1100 * time.Millisecond, first, []int64{7}},
		{"comes for windows in their order", 1, []handov.Handover{counts("x.1", 3, 4)}, 6200 * time.Millisecond, first + 1, []int64{3, 4}},
		{"leaves accounts without calls out", 1, []handov.Handover{counts("x.1", 0)}, 1100 * time.Millisecond, first, []int64{0}},
		{"is not made again if an entry knows that it was", 1, []handov.Handover{{From: "y.1", DecidedTo: first}, counts("x.1", 3, 4)}, 6200 * time.Millisecond, first + 1, []int64{4}},
	} {
		It(tc.name, func() {
			l := ledger.New(length, late)
			l.Load(at(-20*time.Second), decis.Decisions{To: first - 1}, true)
			for _, h := range tc.handovers {
				l.Collect(h)
			}
			next, _ := l.Decide(at(tc.at), tc.entries)
			Expect(next.To).To(Equal(tc.to))
			var sums []int64
			for _, u := range next.Open {
				sums = append(sums, u.Counts["a"])
				Expect(maps.Values(u.Counts)).NotTo(ContainElement(int64(0)))
			}
			Expect(sums).To(Equal(tc.sums))
		})
	}

	It("is repeated exactly by a later holder, with the counts of entries that ended", func() {
		a := ledger.New(length, late)
		a.Load(at(-20*time.Second), decis.Decisions{To: first - 1}, true)
		a.Collect(counts("x.1", 3))
		a.Collect(leaving(counts("y.1", 4, 5)))
		Expect(a.Kept("y.1")).To(BeFalse())
		stored, changed := a.Decide(at(1100*time.Millisecond), 1)
		Expect(changed).To(BeTrue())
		a.Written(stored)
		Expect(a.Kept("y.1")).To(BeTrue())
		sent, ok := a.NextReport(at(1200 * time.Millisecond))
		Expect(ok).To(BeTrue())

		b := ledger.New(length, late)
		b.Load(at(2*time.Second), stored, true)
		b.Collect(counts("x.1", 100, 6))
		repeat, ok := b.NextReport(at(2 * time.Second))
		Expect(ok).To(BeTrue())
		Expect(repeat).To(Equal(sent))
		b.Reported(at(2*time.Second), sent.Window, true)
		next, _ := b.Decide(at(6200*time.Millisecond), 1)
		Expect(next.Open).To(Equal([]usage.Usage{{Window: first + 1, Counts: map[string]int64{"a": 11}}}))
		Expect(next.Carry).To(BeEmpty())
	})

	It("outlasts a store that comes back from an older copy, at the holder that made it", func() {
		a := ledger.New(length, late)
		old := decis.Decisions{To: first - 1}
		a.Load(at(-20*time.Second), old, true)
		a.Collect(counts("x.1", 3))
		stored, _ := a.Decide(at(1100*time.Millisecond), 1)
		a.Written(stored)
		a.Load(at(3*time.Second), old, true)
		a.Collect(counts("x.1", 50))
		u, ok := a.NextReport(at(3 * time.Second))
		Expect(ok).To(BeTrue())
		Expect(u.Counts).To(Equal(map[string]int64{"a": 3}))
		next, _ := a.Decide(at(3*time.Second), 1)
		Expect(next.To).To(Equal(int64(first)))
	})

	It("begins with the windows that are not due, and is bounded after a long time without a holder", func() {
		l := ledger.New(length, late)
		l.Load(at(time.Second), decis.Decisions{}, false)
		Expect(l.DecidedTo()).To(Equal(int64(first - 1)))
		l = ledger.New(length, late)
		l.Load(at(time.Second), decis.Decisions{To: 7}, true)
		Expect(l.DecidedTo()).To(Equal(int64(first - 24)))
	})

	It("is sent again after a pause that grows, beside later windows", func() {
		l := ledger.New(length, late)
		l.Load(at(0), decis.Decisions{To: first, Open: []usage.Usage{{Window: first - 1}, {Window: first}}}, true)
		var sent []string
		for now := at(0); now.Before(at(1500 * time.Millisecond)); now = now.Add(100 * time.Millisecond) {
			if u, ok := l.NextReport(now); ok {
				sent = append(sent, fmt.Sprint(u.Window, "@", now.Sub(at(0)).Milliseconds()))
				l.Reported(now, u.Window, u.Window == first)
			}
		}
		Expect(sent).To(Equal([]string{"199@0", "200@100", "199@200", "199@600", "199@1400"}))
		Expect(l.Unreported()).To(Equal(1))
	})
})
