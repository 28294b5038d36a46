package owner

// Owner is an entry's hold on one shard.
type Owner struct {
	Entry       string
	Incarnation uint64
}
