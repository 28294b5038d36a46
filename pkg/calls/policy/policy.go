package policy

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Policy -linecomment

// Policy is a way to choose an upstream.
type Policy int

// Values of Policy.
const (
	// LeastPredictedWait takes the lowest predicted wait among a sample.
	LeastPredictedWait Policy = iota // predicted
	// Random takes any upstream.
	Random // random
	// RoundRobin takes the upstreams in turn.
	RoundRobin // robin
	// LeastInFlight takes the fewest own calls in flight.
	LeastInFlight // least
	// TwoChoices takes the better of two random upstreams by own calls in flight.
	TwoChoices // two
)
