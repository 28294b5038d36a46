package dedup

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Result -linecomment

// Result is the outcome of claiming an idempotency key.
type Result int

// Values of Grant.
const (
	// Acquired means that this call may run under the key.
	Acquired Result = iota // mine
	// Answered means that an earlier call's answer is remembered.
	Answered // answered
	// Unknown means that an earlier call may have run, or still runs.
	Unknown // unknown
	// Unavailable means that the claim could not be made.
	Unavailable // unavailable
)
