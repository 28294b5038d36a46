package evkind

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Kind -linecomment

// Kind is the kind of an event and says which fields of the event are set.
type Kind int

// The kinds of events.
const (
	// Tick reports that time has passed.
	Tick Kind = iota // tick
	// StoreResponse carries the outcome of a store request.
	StoreResponse // reply
	// DigestReceived carries a digest from a peer that waits for the answer.
	DigestReceived // heard
	// DigestAnswered carries a peer's answer to a digest that this entry sent.
	DigestAnswered // told
	// PeerUnreachable reports that a peer did not answer a digest.
	PeerUnreachable // missed
	// FactReported carries a fact that the traffic goroutines found out.
	FactReported // noted
	// CreditsRequested carries a peer's request for credits, which waits for the answer.
	CreditsRequested // asked
	// CreditsNeeded carries the demand for credits of a pool in this entry.
	CreditsNeeded // wanted
	// Stop begins a planned stop of the entry.
	Stop // stop
)
