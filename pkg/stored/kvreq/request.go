package kvreq

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Request is one request to the store; Op says which fields are set.
type Request struct {
	// ID identifies the request; its response carries it too.
	ID uint64
	Op kvop.Op
	// Key is the key of Get and CompareAndSwap, and the key prefix of List and Watch.
	Key string
	// After is the last key of the previous page of a List; empty for the first page.
	After string
	// SinceRevision is the revision after which Watch reports changes, and the lowest of which a List is of use. A Watch after a
	// revision of an earlier era of the store is answered as compacted.
	SinceRevision revno.Revision
	// Value is what CompareAndSwap writes.
	Value value.Value
	// Delete makes CompareAndSwap remove the key.
	Delete bool
	// ExpectedRevision is the revision that CompareAndSwap requires of the key; number 0 requires that the key does not exist. A
	// condition of an earlier era of the store is not met.
	ExpectedRevision revno.Revision
	// LeaseID is the lease to renew, or the lease at whose expiry a written key is removed; 0 asks for a new lease, or
	// writes the key without one.
	LeaseID int64
	// LeaseEra is the era of the store that granted the lease. A later era grants the same IDs again.
	LeaseEra int64
	// TTL is the lifetime to give to the lease.
	TTL time.Duration
	// Wait is how long Watch waits for a change.
	Wait time.Duration
}
