package stage

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Stage -linecomment

// Stage says what the driver of a call does next.
type Stage int

// Values of Stage.
const (
	// Send starts an attempt.
	Send Stage = iota // send
	// Probe requests load reports from some upstreams before one is chosen.
	Probe // ask
	// Claim claims the idempotency key.
	Claim // claim
	// Wait waits for an event or a timer.
	Wait // wait
	// Deliver sends the response of an attempt to the caller.
	Deliver // deliver
	// Replay sends a saved response to the caller.
	Replay // replay
	// Refuse ends the call without a response from an upstream.
	Refuse // refuse
)
