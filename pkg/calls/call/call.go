package call

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/class"
)

// Call is what decisions need to know of a request.
type Call struct {
	// ID identifies the call within the entry.
	ID uint64
	// RequestID is the identity that the caller gave the call.
	RequestID string
	Service   string
	Route     string
	Caller    string
	Class     class.Class
	// Idempotent is set when the call may be sent more than once.
	Idempotent bool
	// Buffered is set when the whole request is at hand for another attempt.
	Buffered bool
	// Key is the hash of the idempotency key; 0 without one.
	Key uint64
	// Fingerprint is the fingerprint by which a call that crashes upstreams is known.
	Fingerprint uint64
	Arrived     time.Time
	// Deadline is the time after which the answer is of no use; zero for none.
	Deadline time.Time
	// SoftDeadline is the time until which the answer is of full use; zero for none.
	SoftDeadline time.Time
	// Priority orders calls that compete for a service; 0 goes first.
	Priority int
	// MaxRuns is the number of upstreams that may run the call; 0 for the default.
	MaxRuns int
	// BodyBytes is the size of the request body as far as it is known.
	BodyBytes int64
	// Version is the version drawn for the call when Drawn is set; it may be empty.
	Version    string
	VersionSet bool
	// Depth is the number of services above this call.
	Depth int
	// Attempt is the attempt number given by the service above; 0 for a first attempt.
	Attempt int
}

// TimeLeft returns the time until the deadline, or most without one.
func (c *Call) TimeLeft(now time.Time, most time.Duration) time.Duration {
	if c.Deadline.IsZero() {
		return most
	}
	return c.Deadline.Sub(now)
}
