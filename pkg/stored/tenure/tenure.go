package tenure

// Tenure is an entry's hold on one shard.
type Tenure struct {
	Owner string
	Boot  uint64
}
