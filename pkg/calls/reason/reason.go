package reason

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Reason -linecomment

// Reason says why a call was sent, queued or refused.
type Reason int

// Values of Reason.
const (
	// None means that no reason is given.
	None Reason = iota // none
	// LowestWait means that the upstream had the lowest predicted wait.
	LowestWait // lowest
	// Only means that a single upstream was eligible.
	Only // only
	// ColdCredit means that a cold upstream was chosen, by a credit or within its cold-start rate.
	ColdCredit // credit
	// CircuitTrial means that the call tests an open circuit.
	CircuitTrial // trial
	// UnknownService means that the service is not configured.
	UnknownService // absent
	// NoUpstream means that no upstream is available for new calls.
	NoUpstream // empty
	// AtCapacity means that no upstream is free, that the call waits for admission, or that the queue is full.
	AtCapacity // full
	// AdmissionLimit means that the call would wait too long for admission, or that too many calls wait already.
	AdmissionLimit // crowded
	// Deadline means that the deadline would pass before a response.
	Deadline // late
	// RetryLimit means that no further attempt is allowed or no upstream is left to try.
	RetryLimit // retries
	// RetryBudget means that the retry budget is exhausted.
	RetryBudget // spent
	// Poisoned means that the same request crashed upstreams before.
	Poisoned // poisoned
	// NotIdempotent means that the call may have run and must not be repeated.
	NotIdempotent // once
	// ClaimFailed means that the idempotency key could not be claimed.
	ClaimFailed // claim
	// Duplicate means that another call used the same idempotency key.
	Duplicate // duplicate
	// CallerGone means that the caller disconnected.
	CallerGone // gone
	// Stopping means that the entry is shutting down.
	Stopping // stopping
	// KeyReused means that the idempotency key was used for another request.
	KeyReused // reused
	// NoMemory means that there is no memory for the body of the request.
	NoMemory // memory
	// Unsupported means that the entry does not serve what the request asks for: an upgrade, a tunnel, a protocol version, a
	// transfer coding or an expectation.
	Unsupported // unsupported
	// Malformed means that the request is not valid HTTP.
	Malformed // malformed
	// HeaderTooLarge means that the head of the request exceeds the limit.
	HeaderTooLarge // header
	// HeaderLate means that the head of the request did not arrive in time.
	HeaderLate // headlate
	// BodyTooLarge means that the body of the request exceeds the limit.
	BodyTooLarge // body
	// BodyLate means that the body of the request did not arrive in time.
	BodyLate // bodylate
	// BodyUnreadable means that the body of the request broke off or is not valid.
	BodyUnreadable // bodycut
	// Unconfigured means that no configuration is in force yet.
	Unconfigured // unconfigured
	// Outdated means that no routing rule or service matches, in a configuration that may lack a newer one.
	Outdated // outdated
	// NoRule means that no routing rule matches the host and path.
	NoRule // norule
	// ResponseCut means that the response of the upstream broke off after its head had been passed on, or while it was held for
	// earlier responses.
	ResponseCut // cut
	// Panicked means that an unexpected error ended the call.
	Panicked // panic
	// ServerOptions means that the request was an OPTIONS request for the server itself.
	ServerOptions // options
	// UnknownKey means that the call has no key of a client account, or that its key was removed while it waited.
	UnknownKey // unknownkey
	// Defective means that the record of the routing rule, or of its service, cannot be carried out as operators wrote it.
	Defective // defective
)
