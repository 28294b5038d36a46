package state

//go:generate go tool -modfile=../../../tools/go.mod stringer -type State -linecomment

// State is how far the call behind a claim has come.
type State int

// Values of State.
const (
	// Running means that the call may be under way.
	Running State = iota // running
	// Answered means that the call ran and its answer may be remembered.
	Answered // answered
	// NotRun means that no upstream ran the call, so that the key is free.
	NotRun // notrun
	// Unknown means that the call may have run, and no answer came.
	Unknown // unknown
)
