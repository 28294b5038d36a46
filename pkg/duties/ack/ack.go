package ack

// Ack is the answer to a handover of counts.
type Ack struct {
	// Holder reports whether the receiver holds the duty; otherwise it has taken in nothing.
	Holder bool
	// DecidedTo is the last window that is decided. Counts up to it are not needed any more.
	DecidedTo int64
	// Kept is set once the store keeps the counts of an entry that ends.
	Kept bool
}
