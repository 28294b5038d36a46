package sched

/*
A call is worth its weight, which its priority gives, if it ends by its soft deadline, and little afterwards. The order is
therefore: calls that can still meet their soft deadline, then by priority. Where a service has calls of one priority, the
newest goes first, which has the most time left. Where it has several, those of one priority go by soft deadline, and a kind
of call (a routing rule and a priority) that is served far less often than all calls goes before the others until it is not,
so that the order starves none.

Long calls that hold all places keep an urgent call waiting longer than its target latency, in whatever order it waits. A part
of the places is therefore kept from lower priorities, by the places that calls of higher priority have taken lately.
*/

import (
	"math"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Scheduler keeps what is known of the kinds of calls of one service. The zero value knows none. It is not safe for concurrent
// use: its owner must lock it.
type Scheduler struct {
	// kinds holds at most tune.MaxKinds kinds.
	kinds []kind
	// mixed is set while calls of several priorities arrive.
	mixed bool
}

// kind counts the calls of one routing rule and priority. The counts fade with tune.KindDecay.
type kind struct {
	rule     string
	priority int
	// arrived, admitted and refused count calls; those that wait are neither admitted nor refused.
	arrived, admitted, refused float64
	// at is the time of the last change of the counts, and seenAt that of the last arrival.
	at, seenAt time.Time
	// run is the expected run time.
	run time.Duration
	// starved is set while the kind is served less often than tune.StarvedPart of all calls.
	starved bool
}

// Arrive counts a call that arrives; run is its expected run time.
func (s *Scheduler) Arrive(now time.Time, c *call.Call, run time.Duration) {
	k := s.find(c)
	if k == nil {
		k = s.add(c, now)
	}
	k.arrived++
	k.seenAt, k.run = now, run
}

// Admit counts a call that is admitted.
func (s *Scheduler) Admit(c *call.Call) {
	if k := s.find(c); k != nil {
		k.admitted++
	}
}

// Refuse counts a call that is refused, at once or after it has waited.
func (s *Scheduler) Refuse(c *call.Call) {
	if k := s.find(c); k != nil {
		k.refused++
	}
}

// Advance fades the counts up to a time. The owner calls it before the methods that compare calls.
func (s *Scheduler) Advance(now time.Time) {
	s.mixed = false
	first := -1
	var admitted, refused float64
	for i := range s.kinds {
		k := &s.kinds[i]
		if gone := now.Sub(k.at); gone > 0 {
			f := math.Exp(-float64(gone) / float64(tune.KindDecay))
			k.arrived, k.admitted, k.refused, k.at = k.arrived*f, k.admitted*f, k.refused*f, now
		}
		admitted, refused = admitted+k.admitted, refused+k.refused
		if now.Sub(k.seenAt) > tune.KindMemory {
			continue
		}
		s.mixed = s.mixed || first >= 0 && s.kinds[first].priority != k.priority
		first = i
	}
	for i := range s.kinds {
		k := &s.kinds[i]
		k.starved = s.mixed && k.admitted+1 < tune.StarvedPart*(k.admitted+k.refused)*admitted/max(1, admitted+refused)
	}
}

// Mixed reports whether calls of several priorities arrive.
func (s *Scheduler) Mixed() bool { return s.mixed }

// Compare orders two waiting calls whose run times are runA and runB: negative if a goes first.
func (s *Scheduler) Compare(now time.Time, a, b *call.Call, runA, runB time.Duration) int {
	if r := s.Rank(now, a, b, runA, runB); r != 0 {
		return r
	}
	if s.mixed && !a.SoftDeadline.Equal(b.SoftDeadline) {
		if a.SoftDeadline.IsZero() || b.SoftDeadline.IsZero() {
			return before(b.SoftDeadline.IsZero())
		}
		return a.SoftDeadline.Compare(b.SoftDeadline)
	}
	return b.Arrived.Compare(a.Arrived)
}

// Rank is Compare without the order by recency: 0 for calls of equal rank.
//
// Where calls have several priorities, a call that its caller marks as a repeat goes before a first one.
func (s *Scheduler) Rank(now time.Time, a, b *call.Call, runA, runB time.Duration) int {
	if s.mixed {
		if sa, sb := s.starved(a), s.starved(b); sa != sb {
			return before(sa)
		}
	}
	if la, lb := missesSoftDeadline(now, runA, a), missesSoftDeadline(now, runB, b); la != lb {
		return before(lb)
	}
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if ra, rb := a.Attempt > 0, b.Attempt > 0; s.mixed && ra != rb {
		return before(ra)
	}
	return 0
}

// before returns the result of a comparison in which a goes first if first is set, and last otherwise.
func before(first bool) int {
	if first {
		return -1
	}
	return 1
}

// Reserved returns how many of the places of an admission limit a call must leave to the calls of higher priority that arrive:
// those that they take on average and one standard deviation more, but not all places. It is 0 for a kind that starves.
func (s *Scheduler) Reserved(c *call.Call, limit int) int {
	if !s.mixed || s.starved(c) {
		return 0
	}
	demand := s.demand(c)
	return max(0, min(limit-1, int(math.Ceil(demand+math.Sqrt(demand)))))
}

// FreeShare returns the share of the limit that the calls of higher priority leave to a call, at least tune.MinFreeShare.
func (s *Scheduler) FreeShare(c *call.Call, limit int) float64 {
	if !s.mixed || s.starved(c) {
		return 1
	}
	return max(tune.MinFreeShare, 1-s.demand(c)/float64(max(1, limit)))
}

// RetryAfter returns when the caller of a refused call may come back: after the predicted wait, at a random time up to twice as
// long, so that those who are refused together do not return together. left is the time until the deadline, 0 for none.
//
// Callers that are told more than a third of the time that they have left do not come back. It keeps to that third where the
// call could still end in time after it, and returns more than that otherwise.
func (s *Scheduler) RetryAfter(wait, run, left time.Duration, random func() float64) time.Duration {
	wait = max(wait, tune.MinRetryAfter)
	third := left / 3
	switch {
	case left != 0 && wait+run > left:
		return max(wait, third+1)
	case left == 0 || 2*wait <= third:
		return wait + time.Duration(random()*float64(wait))
	}
	// Where the predicted wait exceeds the third, other entries may have room before.
	earliest := min(wait, third*3/4)
	return earliest + time.Duration(random()*float64(third-earliest))
}

// demand returns the mean number of places that the calls of a higher priority than c need.
func (s *Scheduler) demand(c *call.Call) float64 {
	n := 0.0
	for i := range s.kinds {
		if k := &s.kinds[i]; k.priority < c.Priority {
			if rate := k.arrived / tune.KindDecay.Seconds(); rate >= tune.MinReserveRate {
				n += rate * k.run.Seconds()
			}
		}
	}
	return n
}

// starved reports whether the kind of a call starves.
func (s *Scheduler) starved(c *call.Call) bool {
	k := s.find(c)
	return k != nil && k.starved
}

// find returns the kind of a call, or nil.
func (s *Scheduler) find(c *call.Call) *kind {
	i := slices.IndexFunc(s.kinds, func(k kind) bool { return k.priority == c.Priority && k.rule == c.Route })
	if i < 0 {
		return nil
	}
	return &s.kinds[i]
}

// add adds the kind of a call. Beyond the bound, it takes the place of the one that was not seen for longest.
func (s *Scheduler) add(c *call.Call, now time.Time) *kind {
	k := kind{rule: c.Route, priority: c.Priority, at: now}
	if len(s.kinds) < tune.MaxKinds {
		s.kinds = append(s.kinds, k)
		return &s.kinds[len(s.kinds)-1]
	}
	oldest := 0
	for i := range s.kinds {
		if s.kinds[i].seenAt.Before(s.kinds[oldest].seenAt) {
			oldest = i
		}
	}
	s.kinds[oldest] = k
	return &s.kinds[oldest]
}

// missesSoftDeadline reports whether a call would end after its soft deadline if it were admitted now.
func missesSoftDeadline(now time.Time, run time.Duration, c *call.Call) bool {
	return !c.SoftDeadline.IsZero() && now.Add(run).After(c.SoftDeadline)
}
