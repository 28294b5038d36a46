package outcom

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Outcome -linecomment

// Outcome is the outcome of a call that the caller can tell apart.
type Outcome int

// Values of Fate.
const (
	// Answered means that the call ran and its whole answer was given.
	Answered Outcome = iota // answered
	// NotRun means that no upstream ran the call, in this or an earlier attempt.
	NotRun // notrun
	// Unknown means that the call may have run.
	Unknown // unknown
)
