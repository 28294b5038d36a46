package eras

import (
	"strconv"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Header is the name of the response header in which a store with the project's own interface names its era.
const Header = "Balsamvale-Store-Era"

// ErrInvalid is matched by errors about an era that is not a whole number, or out of bounds.
var ErrInvalid = eris.New("invalid era of the store")

// ErrLate is matched by errors about a response of an older era than that of a response that came before.
var ErrLate = eris.New("response of an older era of the store")

// Tracker holds the highest era that the responses of a store have named. It is safe for concurrent use.
type Tracker struct {
	// next is one more than the highest era, and 0 before the first response.
	next atomic.Int64
}

// Observe takes in the era that a response names and returns it. An empty text means era 0, since a store may lack eras.
//
// Errors match ErrInvalid or ErrLate.
func (t *Tracker) Observe(text string) (int64, error) {
	era := int64(0)
	if text != "" {
		var err error
		if era, err = strconv.ParseInt(text, 10, 64); err != nil || era < 0 || era > revno.MaxEra {
			return 0, eris.Wrapf(ErrInvalid, "%q", text)
		}
	}
	for {
		next := t.next.Load()
		switch {
		case era+1 < next:
			return era, eris.Wrapf(ErrLate, "era %d, after %d", era, next-1)
		case era+1 == next, t.next.CompareAndSwap(next, era+1):
			return era, nil
		}
	}
}

// Known reports whether a response has named the era.
func (t *Tracker) Known() bool { return t.next.Load() > 0 }

// Era returns the highest era named so far; 0 before the first response.
func (t *Tracker) Era() int64 { return max(0, t.next.Load()-1) }

// Passed reports whether an era is older than the highest one named so far.
func (t *Tracker) Passed(era int64) bool { return era < t.Era() }
