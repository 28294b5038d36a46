package topic

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Topic -linecomment

// Topic is the subject matter of a fact.
type Topic int

// Values of Topic.
const (
	// ColdStart is an upstream that started anew.
	ColdStart Topic = iota // cold
	// Draining is an upstream that leaves.
	Draining // leaving
	// Poison is a fingerprint that crashed upstreams.
	Poison // poison
	// RolledBack is a move that was taken back.
	RolledBack // reverted
	// Evidence is how the calls of a move's new version ended at one entry.
	Evidence // evidence
)
