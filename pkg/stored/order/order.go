package order

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/stored/value"
	"github.com/balsamvale/balsamvale/pkg/stored/verb"
)

// Order is one call to the store; the reply carries its ID.
type Order struct {
	ID   uint64
	Verb verb.Verb
	// Key is the key of Get and Swap, and the prefix of List and Watch.
	Key string
	// After is the key after which a List goes on.
	After string
	// Since is the revision after which Watch reports changes.
	Since int64
	Value value.Value
	Gone  bool
	// Expect is the revision that a Swap expects; 0 expects no key.
	Expect int64
	// Lease is the lease that a swapped key dies with, or the one to renew; 0 for none.
	Lease int64
	TTL   time.Duration
	Wait  time.Duration
}
