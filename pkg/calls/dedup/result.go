package dedup

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Result -linecomment

// Result is the result of claiming an idempotency key.
type Result int

// Values of Result.
const (
	// Acquired means that this call holds the key and may run.
	Acquired Result = iota // mine
	// Answered means that the response of an earlier call with the key is saved.
	Answered // answered
	// Unknown means that an earlier call with the key may have run or may still be running.
	Unknown // unknown
	// Unavailable means that the claim failed, for example because the store is unreachable, or has lost claims. An earlier call with
	// the key may have run.
	Unavailable // unavailable
	// Mismatch means that the same client account used the key for another request.
	Mismatch // mismatch
)
