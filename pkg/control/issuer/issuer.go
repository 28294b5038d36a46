package issuer

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/credit"
)

// Issuer counts the credits that are out for each upstream; the owner locks it.
type Issuer struct {
	upstreams map[string]*issued
	lastID    uint64
}

type issued struct {
	incarnation uint64
	expiry      map[uint64]time.Time
}

// New returns a ledger whose credit identities start after first.
func New(first uint64) *Issuer {
	return &Issuer{upstreams: map[string]*issued{}, lastID: first}
}

// Grant hands out up to want credits so that no more than bound are out, each for ttl.
func (l *Issuer) Grant(now time.Time, upstream string, boot uint64, want, bound int, ttl time.Duration) []credit.Credit {
	b := l.upstreams[upstream]
	if b == nil {
		b = &issued{incarnation: boot, expiry: map[uint64]time.Time{}}
		l.upstreams[upstream] = b
	}
	b.incarnation = boot
	for id, until := range b.expiry {
		if !now.Before(until) {
			delete(b.expiry, id)
		}
	}
	var cs []credit.Credit
	for len(cs) < want && len(b.expiry) < bound {
		l.lastID++
		c := credit.Credit{ID: l.lastID, Until: now.Add(ttl)}
		b.expiry[c.ID] = c.Until
		cs = append(cs, c)
	}
	return cs
}

// Return takes credits back whose calls have ended.
func (l *Issuer) Return(upstream string, ids []uint64) {
	b := l.upstreams[upstream]
	if b == nil {
		return
	}
	for _, id := range ids {
		delete(b.expiry, id)
	}
}

// Outstanding returns the number of credits that are out for an upstream.
func (l *Issuer) Outstanding(now time.Time, upstream string) int {
	b := l.upstreams[upstream]
	if b == nil {
		return 0
	}
	n := 0
	for _, until := range b.expiry {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// Forget drops an upstream that is warm or no longer owned.
func (l *Issuer) Forget(upstream string) { delete(l.upstreams, upstream) }
