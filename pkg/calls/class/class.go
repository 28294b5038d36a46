package class

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Class -linecomment

// Class is the priority of a call.
type Class int

// Values of Class.
const (
	// Interactive calls have somebody waiting for them.
	Interactive Class = iota // interactive
	// Bulk calls give way to interactive ones.
	Bulk // bulk
)
