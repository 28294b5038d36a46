package call

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/class"
)

// Call is what decisions need to know of a request.
type Call struct {
	// ID identifies the call within the entry.
	ID uint64
	// Mark is the identity that the caller gave the call.
	Mark    string
	Service string
	Route   string
	Caller  string
	Class   class.Class
	// Repeat is set when the call may be sent more than once.
	Repeat bool
	// Buffered is set when the whole request is at hand for another attempt.
	Buffered bool
	// Key is the hash of the idempotency key; 0 without one.
	Key uint64
	// Print is the fingerprint by which a call that crashes upstreams is known.
	Print   uint64
	Arrived time.Time
	// Deadline is the time after which the answer is of no use; zero for none.
	Deadline time.Time
	// Goal is the time until which the answer is of full use; zero for none.
	Goal time.Time
	// Rank orders calls that compete for a service; 0 goes first.
	Rank int
	// Most is the number of upstreams that may run the call; 0 for the default.
	Most int
	// Bytes is the size of the request body as far as it is known.
	Bytes int64
	// Version is the version drawn for the call when Drawn is set; it may be empty.
	Version string
	Drawn   bool
	// Depth is the number of services above this call.
	Depth int
	// Attempt is the attempt number given by the service above; 0 for a first attempt.
	Attempt int
}

// Left returns the time until the deadline, or most without one.
func (c *Call) Left(now time.Time, most time.Duration) time.Duration {
	if c.Deadline.IsZero() {
		return most
	}
	return c.Deadline.Sub(now)
}
