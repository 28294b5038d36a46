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

// Bucket is the state of an entry for one store key, whose value holds many claims; its owner locks it.
//
// The value in the store decides who holds an idempotency key. The bucket keeps the last value that it has seen, adds its
// own claims and writes the result with a compare-and-swap. When the swap fails or its response is lost, the bucket reads
// the value again and starts over; it recognizes its own claims by owner and attempt.
type Bucket struct {
	owner string
	// loaded is cleared when the store has to be read before the next write.
	loaded   bool
	revision int64
	// claims holds the claims in the last value seen, by key.
	claims  map[uint64]claim.Claim
	pending []*pendingClaim
	// completions are the ended calls that the store does not know of yet.
	completions []claim.Claim
	// completeBy is when the completions have to be written; it is set when the first is added.
	completeBy time.Time
	// swapValue is the value of the last planned swap, which contains the first swapCompletions completions.
	swapValue       []claim.Claim
	swapCompletions int
}

// pendingClaim is a claim that has no result yet.
type pendingClaim struct {
	claim claim.Claim
	// readSince is set once a read of the store has ended since the claim was requested or the last poll was scheduled.
	readSince bool
	// pollAt is when a duplicate of a running call reads the store again; zero before the first poll is scheduled.
	pollAt time.Time
	done   func(dedup.Result, answer.Answer)
}

// New returns the bucket of an entry; owner identifies one start of the entry.
func New(owner string) *Bucket {
	return &Bucket{owner: owner, claims: map[uint64]claim.Claim{}}
}

// Claim requests a claim of key until a time; done is called once, from a later method call, unless Abandon comes first.
func (b *Bucket) Claim(key, attempt uint64, until time.Time, done func(dedup.Result, answer.Answer)) {
	c := claim.Claim{Key: key, Owner: b.owner, Attempt: attempt, State: state.Running, Until: until}
	b.pending = append(b.pending, &pendingClaim{claim: c, done: done})
}

// Complete records the end of the call that held key; it is written with later claims, or alone after
// tune.ClaimFlushDelay.
func (b *Bucket) Complete(now time.Time, key, attempt uint64, st state.State, a answer.Answer) {
	c := claim.Claim{Key: key, Owner: b.owner, Attempt: attempt, State: st, Until: now.Add(tune.ClaimTTL), Answer: a}
	if len(b.completions) == 0 {
		b.completeBy = now.Add(tune.ClaimFlushDelay)
	}
	b.completions = append(b.completions, c)
}

// Abandon gives up a claim whose caller no longer waits, and frees the key if the claim was written.
//
// It reports whether the key was seen to be held by another call.
func (b *Bucket) Abandon(now time.Time, key, attempt uint64) (held bool) {
	for i, p := range b.pending {
		if p.claim.Key == key && p.claim.Attempt == attempt {
			b.pending = append(b.pending[:i:i], b.pending[i+1:]...)
			if !p.pollAt.IsZero() {
				return true
			}
			break
		}
	}
	b.Complete(now, key, attempt, state.NotRun, answer.Answer{})
	return false
}

// NextPlanAt returns when Plan is to be called next, and whether there is any work without further claims.
func (b *Bucket) NextPlanAt(now time.Time) (time.Time, bool) {
	if len(b.pending)+len(b.completions) == 0 {
		return time.Time{}, false
	}
	at := now.Add(tune.ClaimTimeout)
	if len(b.completions) > 0 {
		at = b.completeBy
	}
	for _, p := range b.pending {
		if p.pollAt.Before(at) {
			at = p.pollAt
		}
	}
	return at, true
}

// Plan returns the next store operation: a Get, or a CompareAndSwap with its value and expected revision.
//
// ok is false when there is nothing to do now. Plan also ends the claims that the last value decides.
func (b *Bucket) Plan(now time.Time) (op kvop.Op, value []claim.Claim, expect int64, ok bool) {
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

// GetDone applies the result of a Get; it ignores a value older than the last one, and then returns false.
//
// A missing key has revision 0.
func (b *Bucket) GetDone(revision int64, value []claim.Claim) bool {
	if revision < b.revision {
		return false
	}
	b.set(revision, value)
	for _, p := range b.pending {
		p.readSince = true
	}
	return true
}

// SwapDone applies the success of a swap: the store holds the value of the last Plan at the given revision.
func (b *Bucket) SwapDone(revision int64) {
	b.set(revision, b.swapValue)
	b.completions = b.completions[b.swapCompletions:]
	var rest []*pendingClaim
	for _, p := range b.pending {
		if b.holds(p.claim) {
			p.done(dedup.Acquired, answer.Answer{})
			continue
		}
		rest = append(rest, p)
	}
	b.pending = rest
}

// Invalidate makes the next Plan read the store again, because a swap was refused or its result is unknown.
func (b *Bucket) Invalidate() { b.loaded = false }

// FailPending ends all pending claims as unavailable, for example when the store stays unreachable.
func (b *Bucket) FailPending() {
	failed := b.pending
	b.pending = nil
	for _, p := range failed {
		p.done(dedup.Unavailable, answer.Answer{})
	}
}

// resolve ends the pending claims that the last value decides.
//
// It reports whether there is something to write (changed), and whether the store has to be read first (stale).
func (b *Bucket) resolve(now time.Time) (changed, stale bool) {
	changed = len(b.completions) > 0 && !now.Before(b.completeBy)
	var rest []*pendingClaim
	for _, p := range b.pending {
		held, ok := b.claims[p.claim.Key]
		switch {
		case !ok && len(b.claims) >= tune.MaxBucketClaims && b.full(now):
			p.done(dedup.Unavailable, answer.Answer{})
		case !ok || held.State == state.NotRun || !now.Before(held.Until):
			rest = append(rest, p)
			changed = true
		case b.holds(p.claim):
			p.done(dedup.Acquired, answer.Answer{})
		case held.State == state.Answered && held.Answer.Status != 0:
			p.done(dedup.Answered, held.Answer)
		case held.State == state.Running && p.readSince:
			p.readSince, p.pollAt = false, now.Add(tune.DuplicatePollInterval)
			rest = append(rest, p)
		case !p.readSince:
			rest = append(rest, p)
			stale = stale || !now.Before(p.pollAt)
		default:
			p.done(dedup.Unknown, answer.Answer{})
		}
	}
	b.pending = rest
	return changed, stale
}

// full reports whether the unexpired claims fill the bucket.
func (b *Bucket) full(now time.Time) bool {
	n := 0
	for _, c := range b.claims {
		if now.Before(c.Until) {
			n++
		}
	}
	return n >= tune.MaxBucketClaims
}

// merged returns the known claims with the completions and pending claims applied, without expired ones, sorted by key.
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
	for _, p := range b.pending {
		held, ok := next[p.claim.Key]
		if !ok || held.State == state.NotRun {
			next[p.claim.Key] = p.claim
		}
	}
	value := make([]claim.Claim, 0, len(next))
	for _, c := range next {
		value = append(value, c)
	}
	slices.SortFunc(value, func(x, y claim.Claim) int { return cmp.Compare(x.Key, y.Key) })
	return value
}

// holds reports whether the last value contains exactly this claim, still running.
func (b *Bucket) holds(c claim.Claim) bool {
	held, ok := b.claims[c.Key]
	return ok && held.Owner == c.Owner && held.Attempt == c.Attempt && held.State == state.Running
}

// set replaces the last value seen.
func (b *Bucket) set(revision int64, value []claim.Claim) {
	b.loaded, b.revision = true, revision
	b.claims = make(map[uint64]claim.Claim, len(value))
	for _, c := range value {
		b.claims[c.Key] = c
	}
}
