package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/sched"
)

var start = time.Unix(1000, 0)

const runTime = 100 * time.Millisecond

// newCall returns a call that arrived at a time after start and has a target latency.
func newCall(priority, attempt int, at, target time.Duration) *call.Call {
	arrived := start.Add(at)
	return &call.Call{Route: "/r", Priority: priority, Attempt: attempt, Arrived: arrived, SoftDeadline: arrived.Add(target)}
}

var _ = Describe("Scheduler", func() {
	for _, tc := range []struct {
		name string
		// admitted and refused are the calls of each priority that were decided on before.
		admitted, refused []int
		first, second     *call.Call
	}{
		{"takes the newest first where all calls have one priority, whatever their soft deadline", []int{10}, []int{0},
			newCall(0, 0, 2*time.Millisecond, time.Second), newCall(0, 0, time.Millisecond, 500*time.Millisecond)},
		{"does not look at repeats where all calls have one priority", []int{10}, []int{0},
			newCall(0, 0, 2*time.Millisecond, time.Second), newCall(0, 1, time.Millisecond, time.Second)},
		{"takes the earlier soft deadline among calls of one of several priorities", []int{10, 10}, []int{0, 0},
			newCall(0, 0, time.Millisecond, 500*time.Millisecond), newCall(0, 0, 2*time.Millisecond, time.Second)},
		{"takes a call without a soft deadline last among them", []int{10, 10}, []int{0, 0},
			newCall(0, 0, time.Millisecond, time.Second), &call.Call{Route: "/r", Arrived: start}},
		{"takes a repeat before a first call of several priorities", []int{10, 10}, []int{0, 0},
			newCall(1, 1, 2*time.Millisecond, time.Second), newCall(1, 0, time.Millisecond, time.Second)},
		{"takes the higher priority first", []int{10, 3}, []int{0, 7}, newCall(0, 0, 0, time.Second), newCall(1, 0, 0, 200*time.Millisecond)},
		{"takes a kind first that is served less than a quarter as often as all, so that priority starves none", []int{20, 1}, []int{0, 19},
			newCall(1, 0, 0, time.Second), newCall(0, 0, 0, 200*time.Millisecond)},
	} {
		It(tc.name, func() {
			s := &sched.Scheduler{}
			for priority := range tc.admitted {
				for i := range tc.admitted[priority] + tc.refused[priority] {
					c := newCall(priority, 0, 0, time.Second)
					s.Arrive(start, c, runTime)
					if i < tc.admitted[priority] {
						s.Admit(start, c, runTime)
					} else {
						s.Refuse(c)
					}
				}
			}
			now := start.Add(10 * time.Millisecond)
			s.Advance(now)
			Expect(s.Compare(now, tc.first, tc.second, runTime, runTime)).To(BeNumerically("<", 0))
			Expect(s.Compare(now, tc.second, tc.first, runTime, runTime)).To(BeNumerically(">", 0))
		})
	}

	It("keeps a bounded number of kinds, those that were seen last, so that changing rules and accounts do not fill it", func() {
		s := &sched.Scheduler{}
		for i := range 10 * tune.MaxKinds {
			c := newCall(i%7, 0, 0, time.Second)
			c.Route = fmt.Sprint(i)
			s.Arrive(start.Add(time.Duration(i)*time.Millisecond), c, runTime)
		}
		now := start.Add(time.Second)
		s.Advance(now)
		Expect(s.Mixed()).To(BeTrue())
		Expect(s.FreeShare(newCall(9, 0, 0, time.Second), 1000, runTime)).To(BeNumerically(">", 1-float64(tune.MaxKinds)/1000))
		s.Advance(now.Add(2 * tune.KindMemory))
		Expect(s.Mixed()).To(BeFalse(), "no call for a while")
	})

	// Callers that were refused together came back together, or too late, or although nothing could be done for them.
	for _, tc := range []struct {
		name                  string
		wait, run, left       time.Duration
		earliest, latestBound time.Duration
	}{
		{"spreads returns over the wait and as long again", 100 * time.Millisecond, runTime, 2 * time.Second, 100 * time.Millisecond, 200 * time.Millisecond},
		{"asks for the shortest time at least", 0, runTime, 2 * time.Second, 50 * time.Millisecond, 100 * time.Millisecond},
		{"keeps to a third of the time left", 500 * time.Millisecond, runTime, 1800 * time.Millisecond, 450 * time.Millisecond, 600 * time.Millisecond},
		{"keeps to a third if the wait is longer but the call could still end in time", time.Second, runTime, 1800 * time.Millisecond, 450 * time.Millisecond, 600 * time.Millisecond},
		{"tells a hopeless caller the truth", 2 * time.Second, runTime, 1800 * time.Millisecond, 2 * time.Second, 2 * time.Second},
		{"tells a caller without time for the call more than a third", 50 * time.Millisecond, 400 * time.Millisecond, 300 * time.Millisecond, 100 * time.Millisecond, 101 * time.Millisecond},
		{"spreads returns of calls without a deadline", 100 * time.Millisecond, runTime, 0, 100 * time.Millisecond, 200 * time.Millisecond},
	} {
		It("when it tells refused callers to come back, "+tc.name, func() {
			at := func(random float64) time.Duration {
				return (&sched.Scheduler{}).RetryAfter(tc.wait, tc.run, tc.left, func() float64 { return random })
			}
			Expect(at(0)).To(BeNumerically(">=", tc.earliest))
			Expect(at(1)).To(BeNumerically("<=", tc.latestBound))
			if tc.latestBound-tc.earliest > time.Millisecond {
				Expect(at(1) - at(0)).To(BeNumerically(">=", 50*time.Millisecond))
			}
		})
	}
})
