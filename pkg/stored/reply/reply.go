package reply

import "github.com/balsamvale/balsamvale/pkg/stored/item"

// Reply is the outcome of one order.
type Reply struct {
	ID uint64
	// Failed is set when the outcome is not known.
	Failed bool
	// Err is why, for the log.
	Err error
	// Done is set when a Swap or Lease took effect.
	Done  bool
	Items []item.Item
	// Revision is the store's when it answered, or that of the swapped key.
	Revision int64
	// More is set when a List has further pages.
	More bool
	// Lost is set when a Watch can no longer report the changes.
	Lost  bool
	Lease int64
}
