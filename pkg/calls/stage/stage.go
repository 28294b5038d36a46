package stage

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Stage -linecomment

// Stage is what the driver of a call does next.
type Stage int

// Values of Stage.
const (
	// Send starts an attempt.
	Send Stage = iota // send
	// Probe asks some upstreams for their load before one is chosen.
	Probe // ask
	// Claim claims the idempotency key.
	Claim // claim
	// Wait waits for an event or a time.
	Wait // wait
	// Deliver gives the winning attempt's answer to the caller.
	Deliver // deliver
	// Replay gives a remembered answer to the caller.
	Replay // replay
	// Refuse ends the call without an answer.
	Refuse // refuse
)
