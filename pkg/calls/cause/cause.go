package cause

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Cause -linecomment

// Cause says how an attempt ended.
type Cause int

// Values of Cause.
const (
	// None means that the attempt got a response that is not a failure.
	None Cause = iota // none
	// Shed means that the upstream refused the call without running it.
	Shed // shed
	// Error means that the upstream responded with a server error (5xx).
	Error // error
	// Unsent means that no byte of the request was written to the upstream.
	Unsent // unsent
	// DialFailed means that no connection to the upstream could be opened.
	DialFailed // down
	// ConnBroken means that the connection broke before the response was complete.
	ConnBroken // broken
	// Timeout means that no response arrived in time.
	Timeout // timeout
	// Canceled means that the attempt was abandoned.
	Canceled // canceled
	// AttemptMismatch means that the response belonged to another attempt.
	AttemptMismatch // mismatch
	// Invalid means that the response has a status that HTTP does not define, or a field whose name HTTP does not allow.
	Invalid // invalid
)
