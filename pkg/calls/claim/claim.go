package claim

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
)

// Claim is one idempotency key and the call that holds it.
type Claim struct {
	Key uint64
	// Owner and Attempt identify the call that holds the key.
	Owner   string
	Attempt uint64
	State   state.State
	// Until is the time after which the key is forgotten.
	Until  time.Time
	Answer answer.Answer
}
