package issuer

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/credit"
)

// Issuer issues credits and tracks the outstanding ones of each upstream.
//
// It is not safe for concurrent use.
type Issuer struct {
	upstreams map[string]*issued
	lastID    uint64
}

// issued holds the outstanding credits of one upstream.
type issued struct {
	incarnation uint64
	// expiry is when each credit expires, by credit ID.
	expiry map[uint64]time.Time
}

// New returns an issuer without outstanding credits. It numbers credits from lastID+1.
func New(lastID uint64) *Issuer {
	return &Issuer{upstreams: map[string]*issued{}, lastID: lastID}
}

// Grant issues up to want credits for an upstream, such that no more than limit are outstanding.
//
// Each credit expires after ttl. The incarnation is that of the upstream.
func (i *Issuer) Grant(now time.Time, upstream string, incarnation uint64, want, limit int, ttl time.Duration) []credit.Credit {
	u := i.upstreams[upstream]
	if u == nil {
		u = &issued{incarnation: incarnation, expiry: map[uint64]time.Time{}}
		i.upstreams[upstream] = u
	}
	u.incarnation = incarnation
	for id, until := range u.expiry {
		if !now.Before(until) {
			delete(u.expiry, id)
		}
	}
	var credits []credit.Credit
	for len(credits) < want && len(u.expiry) < limit {
		i.lastID++
		c := credit.Credit{ID: i.lastID, Until: now.Add(ttl)}
		u.expiry[c.ID] = c.Until
		credits = append(credits, c)
	}
	return credits
}

// Return takes back credits whose calls have ended. It ignores IDs that are not outstanding.
func (i *Issuer) Return(upstream string, ids []uint64) {
	u := i.upstreams[upstream]
	if u == nil {
		return
	}
	for _, id := range ids {
		delete(u.expiry, id)
	}
}

// Outstanding returns the number of credits of an upstream that are neither returned nor expired.
func (i *Issuer) Outstanding(now time.Time, upstream string) int {
	u := i.upstreams[upstream]
	if u == nil {
		return 0
	}
	n := 0
	for _, until := range u.expiry {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// Sweep discards the upstreams without outstanding credits, so that memory does not grow with those that are replaced.
func (i *Issuer) Sweep(now time.Time) {
	for name := range i.upstreams {
		if i.Outstanding(now, name) == 0 {
			delete(i.upstreams, name)
		}
	}
}

// Len returns the number of upstreams for which credits are kept.
func (i *Issuer) Len() int { return len(i.upstreams) }
