package deed

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Deed -linecomment

// Deed is the kind of an effect.
type Deed int

// Values of Deed.
const (
	// Call makes a call to the store.
	Call Deed = iota // call
	// Send sends a digest to a peer.
	Send // send
	// Answer answers a peer's digest.
	Answer // answer
	// Publish puts a snapshot in force.
	Publish // publish
	// Spread hands a fact to the traffic side.
	Spread // spread
	// Probe probes an upstream.
	Probe // probe
	// Ask asks a peer for credits.
	Ask // ask
	// Give answers a peer's request for credits.
	Give // give
	// Credit hands credits to the traffic side.
	Credit // credit
	// Log writes a line about a placement decision.
	Log // log
)
