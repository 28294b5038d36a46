package reason

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Reason -linecomment

// Reason is why a call was sent, held or refused.
type Reason int

// Values of Reason.
const (
	// None gives no reason.
	None Reason = iota // none
	// LowestWait means that the upstream had the lowest predicted wait.
	LowestWait // lowest
	// Only means that a single upstream was left.
	Only // only
	// ColdCredit means that a cold upstream was used on a credit.
	ColdCredit // credit
	// CircuitTrial means that an open circuit was tried.
	CircuitTrial // trial
	// UnknownService means that the service is not known.
	UnknownService // absent
	// NoUpstream means that no upstream may get new work.
	NoUpstream // empty
	// AtCapacity means that the queue has no room.
	AtCapacity // full
	// AdmissionLimit means that too many calls wait for the service already.
	AdmissionLimit // crowded
	// Deadline means that the deadline would pass first.
	Deadline // late
	// RetryLimit means that no further attempt is allowed.
	RetryLimit // retries
	// RetryBudget means that the retry budget is used up.
	RetryBudget // spent
	// Poisoned means that the same request crashed upstreams before.
	Poisoned // poisoned
	// NotIdempotent means that the call may have run and must not repeat.
	NotIdempotent // once
	// ClaimFailed means that the idempotency key could not be claimed.
	ClaimFailed // claim
	// Duplicate means that the idempotency key is in use.
	Duplicate // duplicate
	// CallerGone means that the caller went away.
	CallerGone // gone
	// Stopping means that the entry is stopping.
	Stopping // stopping
)
