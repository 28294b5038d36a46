package owner

// Owner identifies the entry that owns one shard, and the start of it that does.
type Owner struct {
	Entry       string
	Incarnation uint64
}
