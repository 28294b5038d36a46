package wallet

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/credit"
)

// Wallet holds the unused and the spent credits of one upstream; the owner locks it.
type Wallet struct {
	free     []credit.Credit
	toReturn []uint64
	// misses counts the calls that found no credit since the last Wanted.
	misses int
}

// Add puts credits in.
func (w *Wallet) Add(cs ...credit.Credit) { w.free = append(w.free, cs...) }

// Take returns a credit that stays valid for at least need, and whether there was one.
func (w *Wallet) Take(now time.Time, need time.Duration) (credit.Credit, bool) {
	for len(w.free) > 0 {
		c := w.free[0]
		if c.Until.Sub(now) < need {
			w.free = w.free[1:]
			w.toReturn = append(w.toReturn, c.ID)
			continue
		}
		w.free = w.free[1:]
		return c, true
	}
	w.misses++
	return credit.Credit{}, false
}

// Has reports whether a credit stays valid for at least need.
func (w *Wallet) Has(now time.Time, need time.Duration) bool {
	for _, c := range w.free {
		if c.Until.Sub(now) >= need {
			return true
		}
	}
	return false
}

// Miss counts a call that found no credit.
func (w *Wallet) Miss() { w.misses++ }

// Return marks a credit as no longer in use.
func (w *Wallet) Return(id uint64) { w.toReturn = append(w.toReturn, id) }

// TakeDemand returns and clears the number of calls that found no credit and the credits to give back.
func (w *Wallet) TakeDemand() (wanted int, back []uint64) {
	wanted, back = w.misses, w.toReturn
	w.misses, w.toReturn = 0, nil
	return wanted, back
}

// Clear drops all credits, as when the upstream starts anew.
func (w *Wallet) Clear() { *w = Wallet{} }
