package sched

/*
A call is worth its weight, which its priority gives, if it ends by its soft deadline, and little afterwards. Where a service
has calls of one priority, those that can still meet their soft deadline go first, and the newest of these, which has the most
time left.

Where it has several, the order among those that can meet their soft deadline is by weight over run time, the cost of delay over
work, then by soft deadline: a place then earns the most. Two rules correct this for a kind of call (a routing rule and a
priority): one that is served far less often than all calls, or less often than one of a lower priority, goes before the others
until it is not.

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
	// kinds holds at most tune.MaxKinds kinds, those of the lowest priority first.
	kinds []kind
	// mixed is set while calls of several priorities arrive.
	mixed bool
	// hasLost is set once a call was refused or admitted too late since TakeLost, and lost is the most urgent priority of these.
	hasLost bool
	lost    int
	// pressed is the most urgent priority of which another entry lost calls lately, until pressedUntil.
	pressed      int
	pressedUntil time.Time
	isPressed    bool
}

// kind counts the calls of one routing rule and priority. The counts fade with tune.KindDecay.
type kind struct {
	rule     string
	priority int
	// arrived, admitted and refused count calls; those that wait are neither admitted nor refused.
	arrived, admitted, refused float64
	// at is the time of the last change of the counts, and seenAt that of the last arrival.
	at, seenAt time.Time
	// run is the expected run time, and slack what the last call had of its target latency beyond it; 0 without a target.
	run, slack time.Duration
	// neglected is set while the kind is served less often than tune.StarvedPart of all calls, or, beyond tune.PriorityMargin,
	// less often than a kind of a lower priority.
	neglected bool
}

// Arrive counts a call that arrives; run is its expected run time.
func (s *Scheduler) Arrive(now time.Time, c *call.Call, run time.Duration) {
	k := s.find(c)
	if k == nil {
		k = s.add(c, now)
	}
	k.arrived++
	k.seenAt, k.run, k.slack = now, run, 0
	if !c.SoftDeadline.IsZero() {
		k.slack = max(0, c.SoftDeadline.Sub(c.Arrived)-run)
	}
}

// Admit counts a call that is admitted; run is its expected run time.
func (s *Scheduler) Admit(now time.Time, c *call.Call, run time.Duration) {
	if missesSoftDeadline(now, run, c) {
		s.lose(c)
	}
	if k := s.find(c); k != nil {
		k.admitted++
	}
}

// Refuse counts a call that is refused, at once or after it has waited.
func (s *Scheduler) Refuse(c *call.Call) {
	s.lose(c)
	if k := s.find(c); k != nil {
		k.refused++
	}
}

// lose notes that a call was refused or admitted too late.
func (s *Scheduler) lose(c *call.Call) {
	if !s.hasLost || c.Priority < s.lost {
		s.hasLost, s.lost = true, c.Priority
	}
}

// TakeLost returns the most urgent priority of the calls that were refused, or admitted too late, since it was last called. ok is
// not set if there are none, or if no calls of a lower priority arrive.
func (s *Scheduler) TakeLost(now time.Time) (priority int, ok bool) {
	ok = s.hasLost && slices.ContainsFunc(s.kinds, func(k kind) bool { return k.priority > s.lost && now.Sub(k.seenAt) <= tune.KindMemory })
	s.hasLost = false
	return s.lost, ok
}

// Press notes that another entry lost calls of a priority. Until then, calls of lower priorities leave it a part of the places.
func (s *Scheduler) Press(now time.Time, priority int, until time.Time) {
	if !s.pressedUntil.After(now) || priority <= s.pressed {
		s.pressed, s.pressedUntil = priority, until
	}
}

// Advance fades the counts up to a time. The owner calls it before the methods that compare calls.
func (s *Scheduler) Advance(now time.Time) {
	s.mixed, s.isPressed = false, s.pressedUntil.After(now)
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
	s.markNeglected(admitted / max(1, admitted+refused))
}

// markNeglected marks the kinds that are neglected; served is the part of all calls that were admitted, of those that do not wait.
func (s *Scheduler) markNeglected(served float64) {
	// best is the highest share of a kind of a lower priority, and next that of the kinds before, which come in that order.
	best, next, priority := 0.0, 0.0, 0
	for i := range s.kinds {
		k := &s.kinds[i]
		if k.priority != priority {
			best, priority = next, k.priority
		}
		starves := k.admitted+1 < tune.StarvedPart*(k.admitted+k.refused)*served
		k.neglected = s.mixed && (starves || k.servedShare()+tune.PriorityMargin < best)
		next = max(next, k.servedShare())
	}
}

// servedShare returns the part of the calls of a kind that were admitted, of those that do not wait; 1 without calls.
func (k *kind) servedShare() float64 { return (k.admitted + 1) / (k.admitted + k.refused + 1) }

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
		if sa, sb := s.neglected(a), s.neglected(b); sa != sb {
			return before(sa)
		}
	}
	if la, lb := missesSoftDeadline(now, runA, a), missesSoftDeadline(now, runB, b); la != lb {
		return before(lb)
	}
	if ca, cb := costOfDelay(a.Priority, runA), costOfDelay(b.Priority, runB); s.mixed && ca != cb {
		return before(ca > cb)
	}
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if ra, rb := a.Attempt > 0, b.Attempt > 0; s.mixed && ra != rb {
		return before(ra)
	}
	return 0
}

// Value returns what an answer to a call is worth if the call begins now: its weight, or a tenth of it after the soft deadline.
func (s *Scheduler) Value(now time.Time, c *call.Call, run time.Duration) float64 {
	v := math.Ldexp(1, -c.Priority)
	if missesSoftDeadline(now, run, c) {
		v /= 10
	}
	return v
}

// costOfDelay returns what the delay of a call costs over the work that it needs. The weight halves with each priority.
func costOfDelay(priority int, run time.Duration) float64 {
	return math.Ldexp(1/max(1, float64(run)), -priority)
}

// before returns the result of a comparison in which a goes first if first is set, and last otherwise.
func before(first bool) int {
	if first {
		return -1
	}
	return 1
}

// Reserved returns how many of the places of an admission limit a call, whose run time is run, must leave to the calls of higher
// priority that arrive: those that they take on average and one standard deviation more, but not all places. It is 0 for a
// neglected kind.
//
// Kinds that can wait until enough places become free by themselves need none.
func (s *Scheduler) Reserved(c *call.Call, limit int, run time.Duration) int {
	if s.neglected(c) {
		return 0
	}
	yield := 0
	if s.isPressed && s.pressed < c.Priority {
		yield = int(math.Ceil(tune.YieldPart * float64(limit)))
	}
	demand := 0.0
	for i := range s.kinds {
		if k := &s.kinds[i]; s.mixed && k.priority < c.Priority && k.rate() >= tune.MinReserveRate && k.outruns(float64(limit)/run.Seconds()) {
			demand += k.rate() * k.run.Seconds()
		}
	}
	return max(0, min(limit-1, max(yield, int(math.Ceil(demand+math.Sqrt(demand))))))
}

// rate returns the arrivals in a second.
func (k *kind) rate() float64 { return k.arrived / tune.KindDecay.Seconds() }

// outruns reports whether more calls of a kind may arrive in the time that one can wait than places become free, at a rate in a
// second: one call, those that follow on average, and two standard deviations more. A call without a target latency can wait.
func (k *kind) outruns(rate float64) bool {
	n := k.rate() * k.slack.Seconds()
	return k.slack > 0 && 1+n+2*math.Sqrt(n) > rate*k.slack.Seconds()
}

// FreeShare returns the share of the limit that the calls that arrive and go before a call, whose run time is run, leave to it, at
// least tune.MinFreeShare.
func (s *Scheduler) FreeShare(c *call.Call, limit int, run time.Duration) float64 {
	if !s.mixed || s.neglected(c) {
		return 1
	}
	demand, cost := 0.0, costOfDelay(c.Priority, run)
	for i := range s.kinds {
		if k := &s.kinds[i]; costOfDelay(k.priority, k.run) > cost {
			demand += k.rate() * k.run.Seconds()
		}
	}
	return max(tune.MinFreeShare, 1-demand/float64(max(1, limit)))
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

// neglected reports whether the kind of a call is neglected.
func (s *Scheduler) neglected(c *call.Call) bool {
	k := s.find(c)
	return k != nil && k.neglected
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
	if len(s.kinds) >= tune.MaxKinds {
		oldest := 0
		for i := range s.kinds {
			if s.kinds[i].seenAt.Before(s.kinds[oldest].seenAt) {
				oldest = i
			}
		}
		s.kinds = slices.Delete(s.kinds, oldest, oldest+1)
	}
	i, _ := slices.BinarySearchFunc(s.kinds, c.Priority, func(k kind, priority int) int { return priority - k.priority })
	s.kinds = slices.Insert(s.kinds, i, kind{rule: c.Route, priority: c.Priority, at: now})
	return &s.kinds[i]
}

// missesSoftDeadline reports whether a call would end after its soft deadline if it were admitted now.
func missesSoftDeadline(now time.Time, run time.Duration, c *call.Call) bool {
	return !c.SoftDeadline.IsZero() && now.Add(run).After(c.SoftDeadline)
}
