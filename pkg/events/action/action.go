package action

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Action -linecomment

// Action is the kind of an effect and says which fields of the effect are set.
type Action int

// The kinds of effects.
const (
	// CallStore sends a request to the store.
	CallStore Action = iota // call
	// SendDigest sends a digest to a peer, which answers with its own.
	SendDigest // send
	// AnswerDigest answers a digest that a peer sent.
	AnswerDigest // answer
	// PublishSnapshot makes a new configuration snapshot visible to the traffic goroutines.
	PublishSnapshot // publish
	// DeliverFact hands a fact to the traffic state that it concerns.
	DeliverFact // spread
	// ProbeUpstream asks an upstream for its load report.
	ProbeUpstream // probe
	// RequestCredits asks a peer for credits of a cold upstream.
	RequestCredits // ask
	// GrantCredits answers a peer's request for credits.
	GrantCredits // give
	// DeliverCredits hands credits that this entry granted itself to the pool of their service.
	DeliverCredits // credit
	// Log writes a log line about a placement decision.
	Log // log
)
