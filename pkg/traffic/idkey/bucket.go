package idkey

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
)

// Bucket is an entry's side of one store key that holds many claims; its owner locks it.
//
// The store's value decides who holds a key. The bucket keeps the last value seen, adds its
// claims, and swaps; when a swap fails or its answer is lost, it reads and starts over, and
// knows its own writes by owner and attempt.
type Bucket struct {
	owner       string
	loaded      bool
	revision    int64
	claims      map[uint64]claim.Claim
	pending     []*pendingClaim
	completions []claim.Claim
	// completeBy is when the oldest settle has to be written.
	completeBy time.Time
	// swapValue is the value under way to the store, with the first settling settles in it.
	swapValue       []claim.Claim
	swapCompletions int
}

type pendingClaim struct {
	claim claim.Claim
	// readSince is set once the store was read after the ask came.
	readSince bool
	// pollAt is when a duplicate looks for the running call's answer anew; zero at first.
	pollAt time.Time
	done   func(dedup.Result, answer.Answer)
}

// New returns the bucket of an entry, which is named by owner for each of its starts.
func New(owner string) *Bucket {
	return &Bucket{owner: owner, claims: map[uint64]claim.Claim{}}
}

// Claim claims a key until a time; done is called once from a later method.
func (b *Bucket) Claim(key, attempt uint64, until time.Time, done func(dedup.Result, answer.Answer)) {
	c := claim.Claim{Key: key, Owner: b.owner, Attempt: attempt, State: state.Running, Until: until}
	b.pending = append(b.pending, &pendingClaim{claim: c, done: done})
}

// Complete records the end of a call that held a key; it is written along with later claims, or on its own.
func (b *Bucket) Complete(now time.Time, key, attempt uint64, st state.State, a answer.Answer) {
	c := claim.Claim{Key: key, Owner: b.owner, Attempt: attempt, State: st, Until: now.Add(tune.ClaimTTL), Answer: a}
	if len(b.completions) == 0 {
		b.completeBy = now.Add(tune.ClaimFlushDelay)
	}
	b.completions = append(b.completions, c)
}

// Abandon gives up an ask whose caller no longer waits, and frees the key if it was written.
//
// It reports whether the key was seen to be held by another call.
func (b *Bucket) Abandon(now time.Time, key, attempt uint64) (held bool) {
	for i, a := range b.pending {
		if a.claim.Key == key && a.claim.Attempt == attempt {
			b.pending = append(b.pending[:i:i], b.pending[i+1:]...)
			if !a.pollAt.IsZero() {
				return true
			}
			break
		}
	}
	b.Complete(now, key, attempt, state.NotRun, answer.Answer{})
	return false
}

// NextPlanAt returns when Plan has work, and whether it ever will without further calls.
func (b *Bucket) NextPlanAt(now time.Time) (time.Time, bool) {
	if len(b.pending)+len(b.completions) == 0 {
		return time.Time{}, false
	}
	at := now.Add(tune.ClaimTimeout)
	if len(b.completions) > 0 {
		at = b.completeBy
	}
	for _, a := range b.pending {
		if a.pollAt.Before(at) {
			at = a.pollAt
		}
	}
	return at, true
}

// Plan returns the next store call: Get, Swap with the value and the revision it expects, or none.
func (b *Bucket) Plan(now time.Time) (v kvop.Op, value []claim.Claim, expect int64, ok bool) {
	if at, ok := b.NextPlanAt(now); !ok || now.Before(at) {
		return 0, nil, 0, false
	}
	if !b.loaded {
		return kvop.Get, nil, 0, true
	}
	changed, stale := b.resolve(now)
	if stale {
		b.loaded = false
		return kvop.Get, nil, 0, true
	}
	if !changed {
		return 0, nil, 0, false
	}
	b.swapValue = b.merged(now)
	b.swapCompletions = len(b.completions)
	return kvop.CompareAndSwap, b.swapValue, b.revision, true
}

// GetDone takes in what a Get returned, and reports whether it is no older than what is known.
//
// A missing key has revision 0.
func (b *Bucket) GetDone(revision int64, value []claim.Claim) bool {
	if revision < b.revision {
		return false
	}
	b.set(revision, value)
	for _, a := range b.pending {
		a.readSince = true
	}
	return true
}

// SwapDone takes in that the store took the value of the last Plan at a revision.
func (b *Bucket) SwapDone(revision int64) {
	b.set(revision, b.swapValue)
	b.completions = b.completions[b.swapCompletions:]
	var rest []*pendingClaim
	for _, a := range b.pending {
		if b.holds(a.claim) {
			a.done(dedup.Acquired, answer.Answer{})
			continue
		}
		rest = append(rest, a)
	}
	b.pending = rest
}

// Invalidate takes in that a swap was refused, or that a call's outcome is not known.
func (b *Bucket) Invalidate() { b.loaded = false }

// FailPending ends all asks as unavailable, as when the store stays unreachable.
func (b *Bucket) FailPending() {
	asks := b.pending
	b.pending = nil
	for _, a := range asks {
		a.done(dedup.Unavailable, answer.Answer{})
	}
}

// resolve answers the asks that the known value decides, and reports what is left to do.
func (b *Bucket) resolve(now time.Time) (changed, stale bool) {
	changed = len(b.completions) > 0 && !now.Before(b.completeBy)
	var rest []*pendingClaim
	for _, a := range b.pending {
		held, ok := b.claims[a.claim.Key]
		switch {
		case !ok && len(b.claims) >= tune.MaxBucketClaims && b.full(now):
			a.done(dedup.Unavailable, answer.Answer{})
		case !ok || held.State == state.NotRun || !now.Before(held.Until):
			rest = append(rest, a)
			changed = true
		case b.holds(a.claim):
			a.done(dedup.Acquired, answer.Answer{})
		case held.State == state.Answered && held.Answer.Status != 0:
			a.done(dedup.Answered, held.Answer)
		case held.State == state.Running && a.readSince:
			a.readSince, a.pollAt = false, now.Add(tune.DuplicatePollInterval)
			rest = append(rest, a)
		case !a.readSince:
			rest = append(rest, a)
			stale = stale || !now.Before(a.pollAt)
		default:
			a.done(dedup.Unknown, answer.Answer{})
		}
	}
	b.pending = rest
	return changed, stale
}

// full reports whether the claims that have not lapsed fill the bucket.
func (b *Bucket) full(now time.Time) bool {
	n := 0
	for _, c := range b.claims {
		if now.Before(c.Until) {
			n++
		}
	}
	return n >= tune.MaxBucketClaims
}

// merged returns the known claims with the settles and asks put in, and lapsed ones left out.
func (b *Bucket) merged(now time.Time) []claim.Claim {
	next := make(map[uint64]claim.Claim, len(b.claims)+len(b.pending))
	for k, c := range b.claims {
		if now.Before(c.Until) {
			next[k] = c
		}
	}
	for _, c := range b.completions {
		if held, ok := next[c.Key]; ok && held.Owner == c.Owner && held.Attempt == c.Attempt {
			next[c.Key] = c
		}
	}
	for _, a := range b.pending {
		held, ok := next[a.claim.Key]
		if !ok || held.State == state.NotRun {
			next[a.claim.Key] = a.claim
		}
	}
	value := make([]claim.Claim, 0, len(next))
	for _, c := range next {
		value = append(value, c)
	}
	slices.SortFunc(value, func(x, y claim.Claim) int { return cmp.Compare(x.Key, y.Key) })
	return value
}

// holds reports whether the known value holds this very claim.
func (b *Bucket) holds(c claim.Claim) bool {
	held, ok := b.claims[c.Key]
	return ok && held.Owner == c.Owner && held.Attempt == c.Attempt && held.State == state.Running
}

func (b *Bucket) set(revision int64, value []claim.Claim) {
	b.loaded, b.revision = true, revision
	b.claims = make(map[uint64]claim.Claim, len(value))
	for _, c := range value {
		b.claims[c.Key] = c
	}
}
