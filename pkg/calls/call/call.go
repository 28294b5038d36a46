package call

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/class"
)

// Call holds the properties of a request that routing decisions depend on.
type Call struct {
	// ID identifies the call within the entry.
	ID uint64
	// RequestID is the identity that the caller gave the call; empty without one.
	RequestID string
	Service   string
	// Route is the path prefix of the route that matched the call.
	Route string
	// Caller identifies the caller among those that share a service: the client account, or else the address.
	Caller string
	// Account is the name of the client account; empty for a call that needs no key.
	Account string
	Class   class.Class
	// Idempotent is set when the call may run more than once.
	Idempotent bool
	// Buffered is set when the whole request body is in memory, so that it can be sent again.
	Buffered bool
	// Key is a hash of the idempotency key; 0 means that no key has to be claimed.
	Key uint64
	// Fingerprint is a hash of the request that identifies poison calls.
	Fingerprint uint64
	// Arrived is when the entry received the call.
	Arrived time.Time
	// Deadline is the time after which a response is useless; zero for none.
	Deadline time.Time
	// SoftDeadline is the time until which a response is prompt; zero for none.
	SoftDeadline time.Time
	// Priority weighs calls that compete for a service: from 0, each higher number halves the weight.
	Priority int
	// MaxRuns bounds the attempts that upstreams may have run; 0 leaves only the default bound on attempts.
	MaxRuns int
	// BodyBytes is the size of the request body as far as it is known.
	BodyBytes int64
	// Version is the upstream version drawn for the call; it is valid when VersionSet is set, and may be empty.
	Version    string
	VersionSet bool
	// Depth is the number of nested services that the call came through.
	Depth int
	// Attempt is the attempt number set by the calling service; 0 for a first attempt.
	Attempt int
}

// TimeLeft returns the time until the deadline, or limit if the call has no deadline.
func (c *Call) TimeLeft(now time.Time, limit time.Duration) time.Duration {
	if c.Deadline.IsZero() {
		return limit
	}
	return c.Deadline.Sub(now)
}
