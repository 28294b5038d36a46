package idkey

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/ledger"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Bucket is the state of an entry for one store key, whose value holds many claims; its owner locks it.
//
// The value in the store decides who holds an idempotency key. The bucket keeps the last value that it has seen, adds its
// own claims and writes the result with a compare-and-swap. When the swap fails or its response is lost, the bucket reads
// the value again and starts over; it recognizes its own claims by owner and attempt.
//
// A store that came back from an older copy may have lost claims whose calls have run. Until they would have expired, a key without a
// claim is in doubt: nothing runs for it, and its claim fails, so that the outcome of the call is unknown.
type Bucket struct {
	// EraSince returns when the entry first heard of an era of the store; nil stands for the first read in it.
	EraSince func(now time.Time, era int64) time.Time

	owner string
	// loaded is cleared when the store has to be read before the next write.
	loaded   bool
	revision revno.Revision
	// claims holds the claims in the last value seen.
	claims  map[slot]claim.Claim
	pending []*pendingClaim
	// doubtUntil is until when claims that the store has lost may count.
	doubtUntil time.Time
	// eraAt is when the entry first heard of the era of the last value, and lost holds the claims that it knew before, until a value
	// with them is written.
	eraAt time.Time
	lost  map[slot]claim.Claim
	// unmarked is set if the last value was written before the store was restored, or lacks claims that are known.
	unmarked bool
	// completions are the ended calls that the store does not know of yet.
	completions []claim.Claim
	// completeBy is when the completions have to be written; it is set when the first is added.
	completeBy time.Time
	// swapValue is the value of the last planned swap, which contains the first swapCompletions completions.
	swapValue       ledger.Ledger
	swapCompletions int
}

// slot is what a bucket holds one claim for: a key as used by one client account. The account is 0 in claims of versions that did not
// bind them to one.
type slot struct{ key, account uint64 }

func slotOf(c claim.Claim) slot { return slot{c.Key, c.Binding.Account} }

// pendingClaim is a claim that has no result yet.
type pendingClaim struct {
	claim claim.Claim
	// readSince is set once a read of the store has ended since the claim was requested or the last poll was scheduled.
	readSince bool
	// pollAt is when a duplicate of a running call reads the store again; zero before the first poll is scheduled.
	pollAt time.Time
	done   func(dedup.Result, claim.Claim)
}

// New returns the bucket of an entry; owner identifies one start of the entry.
func New(owner string) *Bucket {
	return &Bucket{owner: owner, claims: map[slot]claim.Claim{}}
}

// Claim requests a claim, of which the key, binding, attempt and expiry are given. done is called once, from a later method call, with
// the result and the claim in the store that led to it, unless Abandon comes first.
func (b *Bucket) Claim(c claim.Claim, done func(dedup.Result, claim.Claim)) {
	c.Owner, c.State = b.owner, state.Running
	b.pending = append(b.pending, &pendingClaim{claim: c, done: done})
}

// Complete records the state and the answer with which the call of a claim ended; it is written with later claims, or alone after
// tune.ClaimFlushDelay.
func (b *Bucket) Complete(now time.Time, c claim.Claim) {
	c.Owner, c.Until = b.owner, now.Add(tune.ClaimTTL)
	if len(b.completions) == 0 {
		b.completeBy = now.Add(tune.ClaimFlushDelay)
	}
	b.completions = append(b.completions, c)
}

// Abandon gives up a claim whose caller no longer waits, and frees the key if the claim was written.
//
// It reports whether the key was seen to be held by another call.
func (b *Bucket) Abandon(now time.Time, c claim.Claim) (held bool) {
	for i, p := range b.pending {
		if p.claim.Key == c.Key && p.claim.Attempt == c.Attempt {
			b.pending = append(b.pending[:i:i], b.pending[i+1:]...)
			if !p.pollAt.IsZero() {
				return true
			}
			break
		}
	}
	c.State = state.NotRun
	b.Complete(now, c)
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
func (b *Bucket) Plan(now time.Time) (op kvop.Op, value ledger.Ledger, expect revno.Revision, ok bool) {
	if at, ok := b.NextPlanAt(now); !ok || now.Before(at) {
		return 0, ledger.Ledger{}, 0, false
	}
	if !b.loaded {
		return kvop.Get, ledger.Ledger{}, 0, true
	}
	changed, stale := b.resolve(now)
	if stale {
		b.loaded = false
		return kvop.Get, ledger.Ledger{}, 0, true
	}
	if !changed && !b.unmarked {
		return 0, ledger.Ledger{}, 0, false
	}
	b.swapValue = ledger.Ledger{Claims: b.merged(now), Era: b.revision.Era(), DoubtUntil: b.doubtUntil}
	b.swapCompletions = len(b.completions)
	return kvop.CompareAndSwap, b.swapValue, b.revision, true
}

// GetDone applies the result of a Get; it ignores a value older than the last one, and then returns false.
//
// The revision of a missing key has number 0.
func (b *Bucket) GetDone(now time.Time, revision revno.Revision, value ledger.Ledger) bool {
	if revision < b.revision {
		return false
	}
	if revision.Era() > b.revision.Era() {
		b.lost, b.eraAt = b.claims, now
		if b.EraSince != nil {
			b.eraAt = b.EraSince(now, revision.Era())
		}
	}
	b.set(revision, value.Claims)
	b.setDoubt(value)
	b.carry(now)
	for _, p := range b.pending {
		p.readSince = true
	}
	return true
}

// SwapDone applies the success of a swap: the store holds the value of the last Plan at the given revision.
func (b *Bucket) SwapDone(revision revno.Revision) {
	b.set(revision, b.swapValue.Claims)
	b.lost, b.unmarked = nil, false
	b.completions = b.completions[b.swapCompletions:]
	var rest []*pendingClaim
	for _, p := range b.pending {
		if b.holds(p.claim) {
			p.done(dedup.Acquired, p.claim)
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
		p.done(dedup.Unavailable, claim.Claim{})
	}
}

// resolve ends the pending claims that the last value decides.
//
// It reports whether there is something to write (changed), and whether the store has to be read first (stale).
func (b *Bucket) resolve(now time.Time) (changed, stale bool) {
	changed = len(b.completions) > 0 && !now.Before(b.completeBy)
	var rest []*pendingClaim
	for _, p := range b.pending {
		held, ok := find(b.claims, p.claim, now)
		_, known := b.claims[slotOf(p.claim)]
		switch {
		case now.Before(b.doubtUntil) && (!ok || b.holds(p.claim)):
			// A write of this claim may have replaced one that was lost.
			p.done(dedup.Unavailable, claim.Claim{})
		case !ok && !known && len(b.claims) >= tune.MaxBucketClaims && b.full(now):
			p.done(dedup.Unavailable, claim.Claim{})
		case !ok:
			rest = append(rest, p)
			changed = true
		case b.holds(p.claim):
			p.done(dedup.Acquired, p.claim)
		case held.State == state.Answered && held.Answer.Status != 0 && held.Binding.SameRequest(p.claim.Binding):
			p.done(dedup.Answered, held)
		case !p.readSince:
			rest = append(rest, p)
			stale = stale || !now.Before(p.pollAt)
		case p.claim.Binding.Differences(held.Binding) != "":
			p.done(dedup.Mismatch, held)
		case held.State == state.Running:
			p.readSince, p.pollAt = false, now.Add(tune.DuplicatePollInterval)
			rest = append(rest, p)
		default:
			p.done(dedup.Unknown, held)
		}
	}
	b.pending = rest
	return changed, stale
}

// find returns the claim that keeps c from being made. A claim that is not bound to an account may be of the same call, or of
// another account's; it keeps all claims of its key from being made.
func find(claims map[slot]claim.Claim, c claim.Claim, now time.Time) (held claim.Claim, ok bool) {
	for _, s := range []slot{slotOf(c), {key: c.Key}} {
		held, ok := claims[s]
		if ok && held.State != state.NotRun && now.Before(held.Until) {
			return held, true
		}
	}
	return claim.Claim{}, false
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
	next := make(map[slot]claim.Claim, len(b.claims)+len(b.pending))
	for k, c := range b.claims {
		if now.Before(c.Until) {
			next[k] = c
		}
	}
	for _, c := range b.completions {
		// An entry of a version that does not know bindings removes them from the claims that it writes back.
		for _, s := range []slot{slotOf(c), {key: c.Key}} {
			if held, ok := next[s]; ok && sameCall(held, c) {
				delete(next, s)
				next[slotOf(c)] = c
				break
			}
		}
	}
	for _, p := range b.pending {
		if _, ok := find(next, p.claim, now); !ok {
			delete(next, slot{key: p.claim.Key})
			next[slotOf(p.claim)] = p.claim
		}
	}
	value := make([]claim.Claim, 0, len(next))
	for _, c := range next {
		value = append(value, c)
	}
	slices.SortFunc(value, func(x, y claim.Claim) int {
		return cmp.Or(cmp.Compare(x.Key, y.Key), cmp.Compare(x.Binding.Account, y.Binding.Account))
	})
	return value
}

// holds reports whether the last value contains exactly this claim, still running.
func (b *Bucket) holds(c claim.Claim) bool {
	for _, s := range []slot{slotOf(c), {key: c.Key}} {
		if held, ok := b.claims[s]; ok && sameCall(held, c) && held.State == state.Running {
			return true
		}
	}
	return false
}

// sameCall reports whether two claims are of the same call.
func sameCall(x, y claim.Claim) bool { return x.Owner == y.Owner && x.Attempt == y.Attempt }

// setDoubt sets until when lost claims may count, from the last value.
func (b *Bucket) setDoubt(value ledger.Ledger) {
	era := b.revision.Era()
	b.doubtUntil, b.unmarked = time.Time{}, era > 0 && value.Era != era
	if era == 0 {
		return
	}
	b.doubtUntil = b.eraAt.Add(tune.ClaimTTL)
	if !b.unmarked && value.DoubtUntil.Before(b.doubtUntil) {
		b.doubtUntil = value.DoubtUntil
	}
}

// carry adds the claims that were known before the store was restored to those of the last value, so that their calls can complete
// and their duplicates are told. That a call has not run does not count: its key may have been claimed again.
func (b *Bucket) carry(now time.Time) {
	for s, c := range b.lost {
		held, ok := b.claims[s]
		if c.State != state.NotRun && now.Before(c.Until) && (!ok || sameCall(held, c) || held.State == state.NotRun) {
			b.claims[s], b.unmarked = c, true
		}
	}
}

// set replaces the last value seen.
func (b *Bucket) set(revision revno.Revision, value []claim.Claim) {
	b.loaded, b.revision = true, revision
	b.claims = make(map[slot]claim.Claim, len(value))
	for _, c := range value {
		b.claims[slotOf(c)] = c
	}
}
