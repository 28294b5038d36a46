package accrec

import "crypto/sha256"

// Account is a client account, whose calls carry one of its keys.
type Account struct {
	Name string
	// Digests holds the SHA-256 of each key. The keys themselves are not kept, so that none can be logged or sent to a peer.
	Digests [][sha256.Size]byte
	// Priority orders the calls of the account in place of the priority of their rule if HasPriority is set; lower numbers go first.
	Priority    int
	HasPriority bool
}
