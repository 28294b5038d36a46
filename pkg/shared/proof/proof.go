package proof

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Proof is the latest time at which a replica is known to have matched the store, by the clock of this host.
//
// The zero value is no proof. It has no age and is not within any bound; what is derived from it is no proof either.
type Proof struct{ at time.Time }

// At returns the proof that a replica matched the store at a time; no proof for the zero time.
func At(at time.Time) Proof { return Proof{at} }

// FromAge returns the proof of a replica that another host gave an age at now.
//
// A negative age, or one of tune.MaxProofAge or more, is that of no proof.
func FromAge(now time.Time, age time.Duration) Proof {
	if age < 0 || age >= tune.MaxProofAge {
		return Proof{}
	}
	return At(now.Add(-age))
}

// Known reports whether p is a proof.
func (p Proof) Known() bool { return !p.at.IsZero() }

// Time returns the time at which the replica matched the store; the zero time without a proof.
func (p Proof) Time() time.Time { return p.at }

// Age returns the time from the proof to now, and whether there is a proof.
func (p Proof) Age(now time.Time) (age time.Duration, known bool) {
	if !p.Known() {
		return 0, false
	}
	return clock.Elapsed(now, p.at), true
}

// Within reports whether the replica is known to have matched the store at most bound before now.
func (p Proof) Within(now time.Time, bound time.Duration) bool {
	age, known := p.Age(now)
	return known && age <= bound
}

// Older returns the proof for a replica that matched the store earlier by d.
func (p Proof) Older(d time.Duration) Proof {
	if !p.Known() {
		return p
	}
	return At(p.at.Add(-d))
}

// Rebase returns the proof by another clock, which shows to when the one of p shows from.
func (p Proof) Rebase(from, to time.Time) Proof {
	age, known := p.Age(from)
	if !known {
		return p
	}
	return FromAge(to, age)
}

// After reports whether p is a proof, and is later than q or q is none.
func (p Proof) After(q Proof) bool { return p.at.After(q.at) }
