package claim

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
)

// Claim is an idempotency key and the call that holds it.
type Claim struct {
	// Key is a hash of the idempotency key.
	Key uint64
	// Owner and Attempt identify the call that holds the key.
	Owner   string
	Attempt uint64
	State   state.State
	// Until is when the claim expires.
	Until time.Time
	// Answer is the saved response; its Status is 0 without one.
	Answer answer.Answer
}
