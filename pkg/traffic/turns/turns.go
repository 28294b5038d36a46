package turns

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Turns tells when one entry may send calls under a limit that holds for all entries together.
//
// Each entry has one turn in each interval of entries/limit, at a time that follows from its rank, and a turn is good for one
// call. A turn that is not used ends after tune.TurnOpen at the latest, so that entries cannot save up turns and use them
// together: in a window w, the calls of all entries are at most limit * (w + tune.TurnOpen), and a few more for rounding,
// for any number of entries. The zero value is without a limit. It is not safe for concurrent use.
type Turns struct {
	// limit is in calls a second; 0 without one.
	limit float64
	// used is the number of the last turn in which a call was sent.
	used int64
}

// SetLimit sets the limit in calls a second; 0 ends it. Limits below minLimit count as that, since only an answer tells that
// a limit has ended.
func (t *Turns) SetLimit(limit float64) {
	if limit > 0 {
		limit = min(max(limit, minLimit), maxLimit)
	}
	if limit != t.limit {
		t.limit, t.used = limit, 0
	}
}

const (
	// minLimit and maxLimit bound the limits that are kept to, in calls a second.
	minLimit = 0.1
	maxLimit = 1e6
)

// Limit returns the limit in calls a second; 0 without one.
func (t *Turns) Limit() float64 { return t.limit }

// Open reports whether the entry with the given rank, from 0 to entries-1, may send a call now.
func (t *Turns) Open(now time.Time, rank, entries int) bool {
	if t.limit == 0 {
		return true
	}
	turn, since := t.turn(now, rank, entries)
	return turn != t.used && since <= tune.TurnOpen
}

// Use records that the entry sends a call now.
func (t *Turns) Use(now time.Time, rank, entries int) {
	if t.limit > 0 {
		t.used, _ = t.turn(now, rank, entries)
	}
}

// turn returns the number of the entry's latest turn, and the time since it began. Turns are counted by the wall clock, which
// is nearly the same in all entries.
func (t *Turns) turn(now time.Time, rank, entries int) (turn int64, since time.Duration) {
	entries = max(1, entries)
	interval := max(1, int64(float64(entries)/t.limit*float64(time.Second)))
	offset := int64(float64(interval) * float64(rank%entries) / float64(entries))
	at := now.UnixNano() - offset
	return at / interval, time.Duration(at % interval)
}
