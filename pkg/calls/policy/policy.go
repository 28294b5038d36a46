package policy

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Policy -linecomment

// Policy is a method of choosing an upstream.
type Policy int

// Values of Policy.
const (
	// LeastPredictedWait picks the upstream with the lowest predicted wait from a sample.
	LeastPredictedWait Policy = iota // predicted
	// Random picks a random upstream.
	Random // random
	// RoundRobin picks the upstreams in turn.
	RoundRobin // robin
	// LeastInFlight picks the upstream with the fewest calls in flight from this entry.
	LeastInFlight // least
	// TwoChoices picks, of two random upstreams, the one with fewer calls in flight from this entry.
	TwoChoices // two
)
