package kvresp

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Response is the outcome of one request.
type Response struct {
	// ID is that of the request.
	ID uint64
	// OutcomeUnknown is set when the request failed and the store may or may not have carried it out.
	OutcomeUnknown bool
	// Err is the reason why the outcome is unknown, for logging; it may be nil.
	Err error
	// TooLarge is set when a Watch failed since its response is too large, or takes too long to transfer. A List may succeed, since
	// it holds each key once.
	TooLarge bool
	// Applied is set when a CompareAndSwap or Lease took effect, or when a Get, List or Watch succeeded.
	Applied bool
	Items   []item.Item
	// Revision is the store's revision when it answered a List or Watch, or that of the key for Get and an applied
	// CompareAndSwap.
	Revision revno.Revision
	// RespondedAt is when the first part of the response to a Watch arrived, or zero if that is unknown. What follows on a slow link
	// is no newer.
	RespondedAt time.Time
	// Waited is set when a Watch has nothing to report, which the store says at the end of the wait.
	Waited bool
	// More is set when a List has further pages.
	More bool
	// Compacted is set when the history that a Watch needs is gone from the store.
	Compacted bool
	// LeaseID is the lease that was granted or renewed, in the era LeaseEra of the store.
	LeaseID  int64
	LeaseEra int64
}
