package claim

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/bind"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
)

// Claim is an idempotency key and the call that holds it.
type Claim struct {
	// Key is a hash of the service and the idempotency key; callers that chose the same key share it.
	Key uint64
	// Binding identifies the client account and the request that the key was used for.
	Binding bind.Binding
	// Owner and Attempt identify the call that holds the key.
	Owner   string
	Attempt uint64
	State   state.State
	// Until is when the claim expires.
	Until time.Time
	// Answer is the saved response; its Status is 0 without one.
	Answer answer.Answer
}
