package item

// Item is a key with its value and the revision of its last write.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	// Gone is set when the key was removed at the revision.
	Gone bool
}
