package admit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/admit"
)

var start = time.Unix(1000, 0)

const run = 100 * time.Millisecond

// arrival is a call that arrives after the start, with times from its arrival.
type arrival struct {
	name     string
	at       time.Duration
	rank     int
	goal     time.Duration
	deadline time.Duration
}

func (a arrival) call() *call.Call {
	at := start.Add(a.at)
	return &call.Call{RequestID: a.name, Priority: a.rank, Arrived: at, SoftDeadline: at.Add(a.goal), Deadline: at.Add(a.deadline)}
}

// filled is a gate whose places are all taken.
func filled() *admit.Limiter[string] {
	g := admit.New[string]()
	for range tune.AdmitLimitInitial {
		s, _ := g.Acquire(start, arrival{deadline: time.Second}.call(), run, 10, "")
		Expect(s).To(Equal(stage.Probe))
	}
	return g
}

var _ = Describe("Gate", func() {
	for _, tc := range []struct {
		name string
		come []arrival
		// at is when a place for each is free.
		at   time.Duration
		in   []string
		late []string
	}{
		{
			"lets the newest of those that can make their goal go first",
			[]arrival{{"a", 0, 0, time.Second, 2 * time.Second}, {"b", time.Millisecond, 0, time.Second, 2 * time.Second}},
			10 * time.Millisecond, []string{"b", "a"}, nil,
		},
		{
			"puts those that miss their goal behind those that make it",
			[]arrival{{"late", 0, 0, 110 * time.Millisecond, 2 * time.Second}, {"timely", 0, 0, time.Second, 2 * time.Second}},
			50 * time.Millisecond, []string{"timely", "late"}, nil,
		},
		{
			"puts a lower rank first among those",
			[]arrival{{"low", time.Millisecond, 2, time.Second, 2 * time.Second}, {"high", 0, 1, time.Second, 2 * time.Second}},
			10 * time.Millisecond, []string{"high", "low"}, nil,
		},
		{
			"gives up those whose deadline would pass while they run",
			[]arrival{{"a", 0, 0, 50 * time.Millisecond, 150 * time.Millisecond}, {"b", 0, 0, time.Second, 2 * time.Second}},
			60 * time.Millisecond, []string{"b"}, []string{"a"},
		},
	} {
		It(tc.name, func() {
			g := filled()
			for _, a := range tc.come {
				s, _ := g.Acquire(start.Add(a.at), a.call(), run, 10, a.name)
				Expect(s).To(Equal(stage.Wait))
			}
			now := start.Add(tc.at)
			_, late := g.AdmitNext(now, run)
			Expect(late).To(Equal(tc.late))
			for _, want := range tc.in {
				g.Release(now)
				in, _ := g.AdmitNext(now, run)
				Expect(in).To(Equal([]string{want}))
			}
			Expect(g.Len()).To(BeZero())
		})
	}

	for _, tc := range []struct {
		name     string
		most     int
		deadline time.Duration
		want     stage.Stage
	}{
		{"waits while there is room and time", 1, time.Second, stage.Wait},
		{"is refused at once without room", 0, time.Second, stage.Refuse},
		{"is refused at once when its deadline cannot be met", 1, run / 2, stage.Refuse},
	} {
		It("a call beyond the limit "+tc.name, func() {
			s, _ := filled().Acquire(start, arrival{goal: tc.deadline, deadline: tc.deadline}.call(), run, tc.most, "")
			Expect(s).To(Equal(tc.want))
		})
	}

	for _, tc := range []struct {
		name    string
		crowded int
		good    int
		want    int
	}{
		{"starts with the first limit", 0, 0, tune.AdmitLimitInitial},
		{"shrinks with crowded upstreams", 5, 0, 4},
		{"keeps one place", 100, 0, tune.AdmitLimitMin},
		{"grows by one for each limit's worth of good answers", 0, tune.AdmitLimitInitial + 2, tune.AdmitLimitInitial + 1},
		{"does not grow without end", 0, 100000, tune.AdmitLimitMax},
	} {
		It(tc.name, func() {
			g := admit.New[string]()
			for range tc.crowded {
				g.Adapt(true)
			}
			for range tc.good {
				g.Adapt(false)
			}
			Expect(g.Limit()).To(Equal(tc.want))
		})
	}

	It("forgets a call that left while it waited", func() {
		g := filled()
		c := arrival{"a", 0, 0, time.Second, time.Second}.call()
		_, _ = g.Acquire(start, c, run, 10, "a")
		Expect(g.Remove(c)).To(BeTrue())
		Expect(g.Remove(c)).To(BeFalse())
		Expect(g.Len()).To(BeZero())
	})
})
