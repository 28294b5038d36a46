package topic

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Topic -linecomment

// Topic says what a fact is about.
type Topic int

// The topics of facts; their numbers are those of the enum Fact.Topic in the schema.
const (
	// ColdStart reports that an upstream has started and is cold.
	ColdStart Topic = iota // cold
	// Draining reports that an upstream takes no new calls.
	Draining // leaving
	// Poison reports that calls with one fingerprint crashed upstreams.
	Poison // poison
	// RolledBack reports that a rollout was rolled back.
	RolledBack // reverted
	// Evidence reports how the calls to a rollout's new version ended at one entry.
	Evidence // evidence
	// Pressure reports that an entry lost calls of a service, while calls of a lower priority arrived.
	Pressure // pressure
)
