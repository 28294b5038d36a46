package room

/*
An upstream holds a number of calls, its slots and its queue. Some upstreams never answer a call beyond that, or reset its
connection, so that the call is lost: whether there is room must be known before it is sent.

What is in an upstream is estimated from the calls of this entry, and from those of the others by the last report. As the
report ages, the others approach what is likely by now: their average, or more if this entry has admitted more calls, since a
rise of the load reaches all entries. The number of calls that came since the report is not known exactly: its
deviation, times the margin, is kept free. The margin rises with each call that found no room, and falls slowly.
*/

import (
	"math"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Estimator estimates the free places at the upstreams of one service. The zero value guards nothing. It is not safe for
// concurrent use: its owner must lock it.
type Estimator struct {
	// otherEntries is the number of other entries, upstreams that of the upstreams, and senders that of the entries that send to one
	// upstream.
	otherEntries, upstreams int
	senders                 float64
	// shared is set while many more entries send to an upstream than it has slots.
	shared bool
	// avgOthers is the average number of calls of other entries in an upstream, and samples the number of reports behind it.
	avgOthers float64
	samples   int
	// inFlight is the number of calls that this entry has admitted, which go to some upstream.
	inFlight int
	// extra is the margin above the lowest one, as of missedAt, and lost the number of calls lost without an answer.
	extra    float64
	missedAt time.Time
	lost     int
}

// SetFleet sets the number of entries, of upstreams and of the entries that send to one upstream. shared tells whether the last is
// so large that no call may go to an upstream without room.
func (e *Estimator) SetFleet(entries, upstreams int, senders float64, shared bool) {
	e.otherEntries, e.upstreams, e.senders = max(0, entries-1), max(1, upstreams), max(1, senders)
	e.shared = shared
}

// Guards reports whether no call may go to an upstream without room: where many entries share upstreams, and where calls were
// lost.
func (e *Estimator) Guards() bool { return e.shared || e.lost >= tune.RoomGuardLosses }

// SetInFlight sets the number of calls that this entry has admitted.
func (e *Estimator) SetInFlight(n int) { e.inFlight = n }

// RecordReport takes the number of calls of other entries from a load report.
func (e *Estimator) RecordReport(others int) {
	e.samples++
	e.avgOthers += max(tune.MinMeanWeight, 1/float64(e.samples)) * (float64(others) - e.avgOthers)
}

// RecordMiss raises the margin after a call that found no room; lost tells whether it was lost instead of refused.
func (e *Estimator) RecordMiss(now time.Time, lost bool) {
	e.extra = min(tune.RoomMaxMargin-1, e.Margin(now)-1+tune.RoomMarginStep)
	e.missedAt = now
	if lost {
		e.lost++
	}
}

// Margin returns the number of deviations of the calls that other entries send meanwhile which is kept free; at least 1.
func (e *Estimator) Margin(now time.Time) float64 {
	return 1 + e.extra*math.Exp2(-float64(now.Sub(e.missedAt))/float64(tune.RoomMarginHalfLife))
}

// Lost returns the number of calls that were lost without an answer because there was no room for them.
func (e *Estimator) Lost() int { return e.lost }

// Places returns the number of calls that an upstream with a number of slots is taken to hold: as many may wait as run. It names
// no number itself. A longer queue is no use, as calls wait in the entries in a better order; where it is shorter, the margin
// makes up for it.
func (e *Estimator) Places(slots int) int { return 2 * slots }

// Others predicts the number of calls of other entries in an upstream that held others of them by a report of an age; a negative
// age means that there is none. The weight of the report falls to 1/e within decay.
func (e *Estimator) Others(others int, age, decay time.Duration) float64 {
	likely := e.likelyOthers()
	if age < 0 {
		return likely
	}
	return likely + math.Exp(-float64(age)/float64(max(decay, time.Microsecond)))*(float64(others)-likely)
}

// Free estimates the free places at an upstream with a number of slots that holds own calls of this entry; others, age and decay
// are those of Others, and runTime is the time that a call takes there.
//
// Without a report, or with one older than tune.RoomReportAge, this entry's part of the places counts.
func (e *Estimator) Free(now time.Time, own, others int, age, decay, runTime time.Duration, slots int) float64 {
	places := float64(e.Places(slots))
	if age < 0 || age > tune.RoomReportAge {
		return max(1, places/e.senders) - float64(own)
	}
	// By Little's law, the calls that the others send in a time are to those in flight as the time is to the run time.
	turnover := min(1, float64(age+tune.RoomTransit)/float64(max(runTime, time.Microsecond)))
	arrivals := turnover * max(1, e.likelyOthers())
	return places - float64(own) - e.Others(others, age, decay) - e.Margin(now)*math.Sqrt(arrivals)
}

// likelyOthers returns the number of calls of other entries that are likely in an upstream: their average, or, if that is more,
// as many as there are if each entry has admitted as many as this one.
func (e *Estimator) likelyOthers() float64 {
	return max(e.avgOthers, float64(e.otherEntries*e.inFlight)/float64(max(1, e.upstreams)))
}
