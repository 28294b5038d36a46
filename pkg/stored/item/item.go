package item

// Item is a key with its value and the revision of its last write or removal.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	// Tombstone is set when the key was removed at Revision.
	Tombstone bool
}
