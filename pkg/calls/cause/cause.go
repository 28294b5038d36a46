package cause

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Cause -linecomment

// Cause is the way in which an attempt ended.
type Cause int

// Values of Cause.
const (
	// None means that a whole answer came.
	None Cause = iota // none
	// Shed means that the upstream refused the call before running it.
	Shed // shed
	// Error means that the upstream answered with a server error.
	Error // error
	// Unsent means that no byte reached the upstream.
	Unsent // unsent
	// DialFailed means that no connection to the upstream could be opened.
	DialFailed // down
	// ConnBroken means that the connection broke before a whole answer.
	ConnBroken // broken
	// Timeout means that no answer came in time.
	Timeout // timeout
	// Canceled means that the attempt was given up.
	Canceled // canceled
	// AttemptMismatch means that the answer belonged to another attempt.
	AttemptMismatch // mismatch
)
