package action

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Action -linecomment

// Action is the kind of an effect.
type Action int

// Values of Deed.
const (
	// CallStore makes a call to the store.
	CallStore Action = iota // call
	// SendDigest sends a digest to a peer.
	SendDigest // send
	// AnswerDigest answers a peer's digest.
	AnswerDigest // answer
	// PublishSnapshot puts a snapshot in force.
	PublishSnapshot // publish
	// DeliverFact hands a fact to the traffic side.
	DeliverFact // spread
	// ProbeUpstream probes an upstream.
	ProbeUpstream // probe
	// RequestCredits asks a peer for credits.
	RequestCredits // ask
	// GrantCredits answers a peer's request for credits.
	GrantCredits // give
	// DeliverCredits hands credits to the traffic side.
	DeliverCredits // credit
	// Log writes a line about a placement decision.
	Log // log
)
