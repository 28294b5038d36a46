package wallet

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/credit"
)

// Wallet holds the credits of one upstream: those for later calls and those to return to their issuer.
//
// It is not safe for concurrent use; its owner locks it.
type Wallet struct {
	// free lists the unused credits, in the order in which they were added.
	free []credit.Credit
	// toReturn lists the IDs of credits that are no longer in use.
	toReturn []uint64
	// misses counts how often a call found no credit since the last TakeDemand; a waiting call counts each time it looks.
	misses int
}

// Add adds credits.
func (w *Wallet) Add(cs ...credit.Credit) { w.free = append(w.free, cs...) }

// Take removes and returns a credit that stays valid for at least need, and reports whether there was one.
//
// Credits that expire earlier are marked for return; without a valid one, a miss is counted.
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

// Has reports whether the wallet holds a credit that stays valid for at least need.
func (w *Wallet) Has(now time.Time, need time.Duration) bool {
	for _, c := range w.free {
		if c.Until.Sub(now) >= need {
			return true
		}
	}
	return false
}

// Miss counts one time that a call found no credit.
func (w *Wallet) Miss() { w.misses++ }

// Return marks a credit that was taken as no longer in use.
func (w *Wallet) Return(id uint64) { w.toReturn = append(w.toReturn, id) }

// TakeDemand returns and clears the number of misses and the IDs of the credits to return.
func (w *Wallet) TakeDemand() (wanted int, returned []uint64) {
	wanted, returned = w.misses, w.toReturn
	w.misses, w.toReturn = 0, nil
	return wanted, returned
}

// Clear drops all credits, those to return included, and the misses, for example when the upstream has restarted.
func (w *Wallet) Clear() { *w = Wallet{} }
