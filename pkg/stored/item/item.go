package item

import "github.com/balsamvale/balsamvale/pkg/stored/revno"

// Item is a key with its value and the revision of its last write or removal.
type Item struct {
	Key      string
	Value    []byte
	Revision revno.Revision
	// Tombstone is set when the key was removed at Revision.
	Tombstone bool
}
