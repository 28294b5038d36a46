package phase

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Phase -linecomment

// Phase is the stage of a move.
type Phase int

// Values of Phase.
const (
	// Planned means that the start lies ahead.
	Planned Phase = iota // planned
	// Shifting means that the share of the new version grows.
	Shifting // moving
	// Done means that all traffic has moved.
	Done // done
	// RolledBack means that the move was taken back.
	RolledBack // reverted
)
