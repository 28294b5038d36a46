package kvresp

import "github.com/balsamvale/balsamvale/pkg/stored/item"

// Response is the outcome of one order.
type Response struct {
	ID uint64
	// OutcomeUnknown is set when the outcome is not known.
	OutcomeUnknown bool
	// Err is why, for the log.
	Err error
	// Applied is set when a Swap or Lease took effect.
	Applied bool
	Items   []item.Item
	// Revision is the store's when it answered, or that of the swapped key.
	Revision int64
	// More is set when a List has further pages.
	More bool
	// Compacted is set when a Watch can no longer report the changes.
	Compacted bool
	LeaseID   int64
}
