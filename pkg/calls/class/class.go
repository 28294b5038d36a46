package class

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Class -linecomment

// Class is the scheduling class of a call.
type Class int

// Values of Class.
const (
	// Interactive marks calls that somebody is waiting for.
	Interactive Class = iota // interactive
	// Bulk marks calls that yield to interactive ones.
	Bulk // bulk
)
