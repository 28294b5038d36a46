package state

//go:generate go tool -modfile=../../../tools/go.mod stringer -type State -linecomment

// State is the state of the call that holds an idempotency key.
type State int

// Values of State.
const (
	// Running means that the call may still be running.
	Running State = iota // running
	// Answered means that the call ran; its response may be saved.
	Answered // answered
	// NotRun means that no upstream ran the call, so that the key is free again.
	NotRun // notrun
	// Unknown means that the call may have run and there is no response to replay.
	Unknown // unknown
)
