package outcom

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Outcome -linecomment

// Outcome is what a caller can know about the execution of its call.
type Outcome int

// Values of Outcome.
const (
	// Answered means that the call ran and its complete response was delivered.
	Answered Outcome = iota // answered
	// NotRun means that no upstream ran the call, in this or an earlier attempt.
	NotRun // notrun
	// Unknown means that the call may have run.
	Unknown // unknown
)
