package evkind

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Kind -linecomment

// Kind is the kind of an event.
type Kind int

// Values of Signal.
const (
	// Tick says that time has passed.
	Tick Kind = iota // tick
	// StoreResponse brings the outcome of a store call.
	StoreResponse // reply
	// DigestReceived brings a digest that a peer sent, which waits for an answer.
	DigestReceived // heard
	// DigestAnswered brings a peer's answer to a digest.
	DigestAnswered // told
	// PeerUnreachable says that a peer did not answer.
	PeerUnreachable // missed
	// FactReported brings news from the traffic side.
	FactReported // noted
	// CreditsRequested brings a peer's request for credits.
	CreditsRequested // asked
	// CreditsNeeded brings the traffic side's need for credits.
	CreditsNeeded // wanted
	// Stop begins a planned stop.
	Stop // stop
)
