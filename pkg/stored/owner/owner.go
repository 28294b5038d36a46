package owner

// Owner identifies the entry that owns one shard, by its name and incarnation.
type Owner struct {
	Entry       string
	Incarnation uint64
}
