package ledger

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/credit"
)

// Ledger counts the credits that are out for each upstream; the owner locks it.
type Ledger struct {
	books map[string]*book
	next  uint64
}

type book struct {
	boot uint64
	out  map[uint64]time.Time
}

// New returns a ledger whose credit identities start after first.
func New(first uint64) *Ledger {
	return &Ledger{books: map[string]*book{}, next: first}
}

// Grant hands out up to want credits so that no more than bound are out, each for ttl.
func (l *Ledger) Grant(now time.Time, upstream string, boot uint64, want, bound int, ttl time.Duration) []credit.Credit {
	b := l.books[upstream]
	if b == nil {
		b = &book{boot: boot, out: map[uint64]time.Time{}}
		l.books[upstream] = b
	}
	b.boot = boot
	for id, until := range b.out {
		if !now.Before(until) {
			delete(b.out, id)
		}
	}
	var cs []credit.Credit
	for len(cs) < want && len(b.out) < bound {
		l.next++
		c := credit.Credit{ID: l.next, Until: now.Add(ttl)}
		b.out[c.ID] = c.Until
		cs = append(cs, c)
	}
	return cs
}

// Back takes credits back whose calls have ended.
func (l *Ledger) Back(upstream string, ids []uint64) {
	b := l.books[upstream]
	if b == nil {
		return
	}
	for _, id := range ids {
		delete(b.out, id)
	}
}

// Out returns the number of credits that are out for an upstream.
func (l *Ledger) Out(now time.Time, upstream string) int {
	b := l.books[upstream]
	if b == nil {
		return 0
	}
	n := 0
	for _, until := range b.out {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// Forget drops an upstream that is warm or no longer owned.
func (l *Ledger) Forget(upstream string) { delete(l.books, upstream) }
