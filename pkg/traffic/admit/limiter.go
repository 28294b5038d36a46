package admit

/*
Acquire admits a call while fewer than the limit are in flight, and lets it wait otherwise. Release frees the place of
an admitted call, and AdmitNext admits the next waiting calls, in the order of sched.Scheduler. Adapt changes the limit
with the load of the upstreams: it grows by one over about as many good answers as the limit, and shrinks by a part of
itself after each answer that shows high load.

Upstreams become slower when they are nearly full, and calls that queue there can no longer be put in order. Keeping the
excess in the entry lets the calls go first that can still meet their soft deadline.
*/

import (
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/sched"
)

// Limiter admits calls up to a limit that follows the load of the upstreams. It is not safe for concurrent use: its
// owner must lock it.
type Limiter[T any] struct {
	// RunTime returns the expected run time of a call of a routing rule, where mean is that of all calls of the service; nil
	// returns the mean.
	RunTime func(rule string, mean time.Duration) time.Duration

	// limit is the admission limit; its fraction is progress towards the next whole number.
	limit float64
	// initial is the limit at the start, and adapted is set once an answer has changed the limit.
	initial int
	adapted bool
	// inFlight is the number of admitted calls that were not released yet, and inFlightBy that number by priority.
	inFlight   int
	inFlightBy map[int]int
	queue      []waiter[T]
	scheduler  sched.Scheduler
	// avgReleaseGap is the average time between two releases, where a gap counts at most tune.MaxCallGap, and lastRelease the
	// time of the last release.
	avgReleaseGap time.Duration
	lastRelease   time.Time
	// checkedAt is when the waiting calls were last searched for hopeless ones.
	checkedAt time.Time
}

// waiter is a call that waits for admission, with the value that its owner passed to Acquire.
type waiter[T any] struct {
	call  *call.Call
	value T
}

// Len returns the number of calls that wait for admission.
func (l *Limiter[T]) Len() int { return len(l.queue) }

// Acquire admits a call (stage.Probe), lets it wait (stage.Wait) or refuses it (stage.Refuse). wait is the predicted time
// until there is room for it.
//
// mean is the expected time that a call of the service takes once it is admitted, maxQueue is the number of calls that may
// wait, and value is what AdmitNext returns for the call if it waits.
func (l *Limiter[T]) Acquire(now time.Time, c *call.Call, mean time.Duration, maxQueue int, value T) (s stage.Stage, wait time.Duration) {
	run := l.runTime(c, mean)
	l.scheduler.Arrive(now, c, run)
	l.scheduler.Advance(now)
	if l.hasRoom(c, mean) && (len(l.queue) == 0 || l.scheduler.Mixed() && !l.waitsBehind(now, c, mean)) {
		l.admit(now, c, run)
		return stage.Probe, 0
	}
	wait = l.wait(c, now, mean)
	if len(l.queue) >= maxQueue || wait+run > c.TimeLeft(now, wait+run) {
		l.scheduler.Refuse(c)
		return stage.Refuse, wait
	}
	l.queue = append(l.queue, waiter[T]{c, value})
	return stage.Wait, wait
}

// Displace removes the waiting call that goes last, to make room for a call that arrives, and reports whether it did: where
// calls have several priorities, if the queue is full and the call ranks higher.
func (l *Limiter[T]) Displace(now time.Time, c *call.Call, mean time.Duration, maxQueue int) (value T, ok bool) {
	l.scheduler.Advance(now)
	if !l.scheduler.Mixed() || len(l.queue) < maxQueue || len(l.queue) == 0 || l.hasRoom(c, mean) {
		return value, false
	}
	last := 0
	for i := range l.queue {
		if l.compare(now, mean, l.queue[i].call, l.queue[last].call) > 0 {
			last = i
		}
	}
	w := l.queue[last]
	if l.scheduler.Rank(now, c, w.call, l.runTime(c, mean), l.runTime(w.call, mean)) >= 0 {
		return value, false
	}
	l.scheduler.Refuse(w.call)
	l.queue = slices.Delete(l.queue, last, last+1)
	return w.value, true
}

// hasRoom reports whether a call may be admitted: fewer calls than the limit are in flight, and those of its priority and lower
// ones leave the places that are reserved for higher ones.
func (l *Limiter[T]) hasRoom(c *call.Call, mean time.Duration) bool {
	if l.inFlight >= l.Limit() {
		return false
	}
	reserved := l.scheduler.Reserved(c, l.Limit(), l.runTime(c, mean))
	if reserved == 0 {
		return true
	}
	n := 0
	for priority, inFlight := range l.inFlightBy {
		if priority >= c.Priority {
			n += inFlight
		}
	}
	return n < l.Limit()-reserved
}

// waitsBehind reports whether a waiting call for which there is room goes before a call.
func (l *Limiter[T]) waitsBehind(now time.Time, c *call.Call, mean time.Duration) bool {
	return slices.ContainsFunc(l.queue, func(w waiter[T]) bool { return l.compare(now, mean, w.call, c) < 0 && l.hasRoom(w.call, mean) })
}

// admit counts a call as in flight.
func (l *Limiter[T]) admit(now time.Time, c *call.Call, run time.Duration) {
	l.inFlight++
	l.inFlightBy[c.Priority]++
	l.scheduler.Admit(now, c, run)
}

// wait predicts how long a call waits behind the waiting calls that go before it.
//
// Each takes the average time between two releases, times the ratio of its run time to the mean, and longer by what those that
// arrive meanwhile and go before it take.
func (l *Limiter[T]) wait(c *call.Call, now time.Time, mean time.Duration) time.Duration {
	ahead := 1.0
	for i := range l.queue {
		if l.compare(now, mean, l.queue[i].call, c) <= 0 {
			ahead += float64(l.runTime(l.queue[i].call, mean)) / float64(max(1, mean))
		}
	}
	return time.Duration(ahead * float64(l.avgReleaseGap) / l.scheduler.FreeShare(c, l.Limit(), l.runTime(c, mean)))
}

// compare orders two waiting calls.
func (l *Limiter[T]) compare(now time.Time, mean time.Duration, a, b *call.Call) int {
	return l.scheduler.Compare(now, a, b, l.runTime(a, mean), l.runTime(b, mean))
}

// runTime returns the expected time that a call takes once it is admitted.
func (l *Limiter[T]) runTime(c *call.Call, mean time.Duration) time.Duration {
	if l.RunTime == nil {
		return mean
	}
	return l.RunTime(c.Route, mean)
}

// Release frees the place of an admitted call, and updates the average time between two releases.
func (l *Limiter[T]) Release(now time.Time, c *call.Call) {
	l.inFlight = max(0, l.inFlight-1)
	if l.inFlightBy[c.Priority]--; l.inFlightBy[c.Priority] <= 0 {
		delete(l.inFlightBy, c.Priority)
	}
	if gap := now.Sub(l.lastRelease); !l.lastRelease.IsZero() && gap >= 0 {
		l.avgReleaseGap += time.Duration(tune.AverageWeight * float64(min(gap, tune.MaxCallGap)-l.avgReleaseGap))
	}
	l.lastRelease = now
}

// TakeLost returns the most urgent priority of the calls that were refused, or admitted too late, since it was last called, if
// calls of a lower priority arrive.
func (l *Limiter[T]) TakeLost(now time.Time) (priority int, ok bool) {
	return l.scheduler.TakeLost(now)
}

// Press notes that another entry lost calls of a priority, and that lower priorities yield until then.
func (l *Limiter[T]) Press(now time.Time, priority int, until time.Time) {
	l.scheduler.Press(now, priority, until)
}

// DescribeRefusal completes the refusal of a call: what it was decided on, and where calls have several priorities, when the
// caller may come back; otherwise it may after the predicted wait. random returns numbers from 0 to 1.
func (l *Limiter[T]) DescribeRefusal(now time.Time, c *call.Call, mean time.Duration, random func() float64, ch *choice.Choice) {
	ch.AdmitLimit, ch.AdmitWaiting = l.Limit(), l.Len()
	ch.Work = l.runTime(c, mean)
	ch.Value = l.scheduler.Value(now, c, ch.Work)
	for i := range l.queue {
		if l.compare(now, mean, l.queue[i].call, c) <= 0 {
			ch.Position++
		}
	}
	if l.scheduler.Mixed() {
		ch.RetryAfter = l.scheduler.RetryAfter(l.wait(c, now, mean), ch.Work, c.TimeLeft(now, 0), random)
	}
}

// AdmitNext removes the waiting calls that can no longer end before their deadline, returned as expired, and then admits
// waiting calls while there is room. Where calls have several priorities, it also removes those that would wait too long
// behind the calls that go before them. mean is the expected time that a call of the service takes once it is admitted.
func (l *Limiter[T]) AdmitNext(now time.Time, mean time.Duration) (admitted, expired []T) {
	l.queue = slices.DeleteFunc(l.queue, func(w waiter[T]) bool {
		if run := l.runTime(w.call, mean); run < w.call.TimeLeft(now, run+1) {
			return false
		}
		l.scheduler.Refuse(w.call)
		expired = append(expired, w.value)
		return true
	})
	l.scheduler.Advance(now)
	for l.inFlight < l.Limit() {
		i := l.next(now, mean)
		if i < 0 {
			break
		}
		l.admit(now, l.queue[i].call, l.runTime(l.queue[i].call, mean))
		admitted = append(admitted, l.queue[i].value)
		l.queue = slices.Delete(l.queue, i, i+1)
	}
	if l.scheduler.Mixed() && now.Sub(l.checkedAt) >= tune.HopelessInterval {
		l.checkedAt = now
		expired = append(expired, l.removeHopeless(now, mean)...)
	}
	return admitted, expired
}

// removeHopeless removes and returns the waiting calls whose deadline passes while the calls that wait before them are admitted,
// even if they are admitted tune.HopelessFactor times as fast as lately.
func (l *Limiter[T]) removeHopeless(now time.Time, mean time.Duration) (removed []T) {
	slices.SortStableFunc(l.queue, func(a, b waiter[T]) int { return l.compare(now, mean, a.call, b.call) })
	ahead := 1.0
	l.queue = slices.DeleteFunc(l.queue, func(w waiter[T]) bool {
		run := l.runTime(w.call, mean)
		took := time.Duration(ahead*float64(l.avgReleaseGap)/tune.HopelessFactor) + run
		if took > w.call.TimeLeft(now, took) {
			l.scheduler.Refuse(w.call)
			removed = append(removed, w.value)
			return true
		}
		ahead += float64(run) / float64(max(1, mean))
		return false
	})
	return removed
}

// next returns the index of the first waiting call in the order for which there is room, or -1.
func (l *Limiter[T]) next(now time.Time, mean time.Duration) int {
	best := -1
	for i := range l.queue {
		if (best < 0 || l.compare(now, mean, l.queue[i].call, l.queue[best].call) < 0) && l.hasRoom(l.queue[i].call, mean) {
			best = i
		}
	}
	return best
}

// Remove removes a waiting call and reports whether it was waiting.
func (l *Limiter[T]) Remove(c *call.Call) bool {
	i := slices.IndexFunc(l.queue, func(w waiter[T]) bool { return w.call == c })
	if i < 0 {
		return false
	}
	l.queue = slices.Delete(l.queue, i, i+1)
	return true
}

// Clear removes all waiting calls and returns their values.
func (l *Limiter[T]) Clear() (values []T) {
	for _, w := range l.queue {
		values = append(values, w.value)
	}
	l.queue = nil
	return values
}
