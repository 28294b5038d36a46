package admit

/*
 call --Enter--> inside, while fewer than limit are --Leave--> next of those that wait, by value and rank
 upstreams' load --Learn--> limit: up by one for each limit's worth of good answers, down by a part for each bad one

 Upstreams become slower when they are nearly full, and calls that queue there cannot be put in order any more.
 Keeping the excess in the entry lets the calls that can still make their goal go first.
*/

import (
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Limiter admits calls up to a limit that follows the load of the upstreams; the owner locks it.
type Limiter[T any] struct {
	limit    float64
	inFlight int
	queue    []waiter[T]
	// avgReleaseGap is the average time between two calls that leave.
	avgReleaseGap time.Duration
	lastRelease   time.Time
}

type waiter[T any] struct {
	call  *call.Call
	value T
}

// New returns a gate with the first limit.
func New[T any]() *Limiter[T] { return &Limiter[T]{limit: tune.AdmitLimitInitial} }

// Len returns the number of calls that wait.
func (g *Limiter[T]) Len() int { return len(g.queue) }

// Limit returns the number of calls that may be inside.
func (g *Limiter[T]) Limit() int { return int(g.limit) }

// Acquire takes a call in (Ask), lets it wait, or refuses it with the time after which there may be room.
//
// run is the time that a call is expected to take once it is inside, and most the number that may wait.
func (g *Limiter[T]) Acquire(now time.Time, c *call.Call, run time.Duration, most int, value T) (s stage.Stage, wait time.Duration) {
	if g.inFlight < g.Limit() && len(g.queue) == 0 {
		g.inFlight++
		return stage.Probe, 0
	}
	wait = g.wait(c, now, run)
	if len(g.queue) >= most || wait+run > c.TimeLeft(now, wait+run) {
		return stage.Refuse, wait
	}
	g.queue = append(g.queue, waiter[T]{c, value})
	return stage.Wait, wait
}

// wait predicts how long a call waits behind those that go first.
func (g *Limiter[T]) wait(c *call.Call, now time.Time, run time.Duration) time.Duration {
	ahead := 1
	for i := range g.queue {
		if compare(now, run, g.queue[i].call, c) <= 0 {
			ahead++
		}
	}
	return time.Duration(ahead) * g.avgReleaseGap
}

// Release ends a call that was inside.
func (g *Limiter[T]) Release(now time.Time) {
	g.inFlight = max(0, g.inFlight-1)
	if gap := now.Sub(g.lastRelease); !g.lastRelease.IsZero() && gap >= 0 {
		g.avgReleaseGap += time.Duration(tune.AverageWeight * float64(min(gap, tune.MaxCallGap)-g.avgReleaseGap))
	}
	g.lastRelease = now
}

// Adapt adapts the limit to the load that an answer told of its upstream.
func (g *Limiter[T]) Adapt(crowded bool) {
	if crowded {
		g.limit = max(tune.AdmitLimitMin, g.limit*tune.AdmitLimitDecrease)
		return
	}
	g.limit = min(tune.AdmitLimitMax, g.limit+1/g.limit)
}

// AdmitNext takes in those that wait as far as there is room, and gives up those that cannot be served in time any more.
func (g *Limiter[T]) AdmitNext(now time.Time, run time.Duration) (in, late []T) {
	g.queue = slices.DeleteFunc(g.queue, func(w waiter[T]) bool {
		if run < w.call.TimeLeft(now, run+1) {
			return false
		}
		late = append(late, w.value)
		return true
	})
	for g.inFlight < g.Limit() && len(g.queue) > 0 {
		best := 0
		for i := range g.queue {
			if compare(now, run, g.queue[i].call, g.queue[best].call) < 0 {
				best = i
			}
		}
		in = append(in, g.queue[best].value)
		g.queue = slices.Delete(g.queue, best, best+1)
		g.inFlight++
	}
	return in, late
}

// Remove takes a call out of those that wait, and reports whether it was there.
func (g *Limiter[T]) Remove(c *call.Call) bool {
	i := slices.IndexFunc(g.queue, func(w waiter[T]) bool { return w.call == c })
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	return true
}

// compare orders calls: those that can still make their goal, then by rank, then the newest, which has most time left.
func compare(now time.Time, run time.Duration, a, b *call.Call) int {
	la, lb := missesSoftDeadline(now, run, a), missesSoftDeadline(now, run, b)
	switch {
	case la != lb && la:
		return 1
	case la != lb:
		return -1
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	}
	return b.Arrived.Compare(a.Arrived)
}

// missesSoftDeadline reports whether a call would end after its goal if it went in now.
func missesSoftDeadline(now time.Time, run time.Duration, c *call.Call) bool {
	return !c.SoftDeadline.IsZero() && now.Add(run).After(c.SoftDeadline)
}
