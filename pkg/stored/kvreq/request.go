package kvreq

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Request is one call to the store; the reply carries its ID.
type Request struct {
	ID uint64
	Op kvop.Op
	// Key is the key of Get and Swap, and the prefix of List and Watch.
	Key string
	// After is the key after which a List goes on.
	After string
	// SinceRevision is the revision after which Watch reports changes.
	SinceRevision int64
	Value         value.Value
	Delete        bool
	// ExpectedRevision is the revision that a Swap expects; 0 expects no key.
	ExpectedRevision int64
	// LeaseID is the lease that a swapped key dies with, or the one to renew; 0 for none.
	LeaseID int64
	TTL     time.Duration
	Wait    time.Duration
}
