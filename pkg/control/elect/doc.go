// Package elect decides which shards an entry takes and releases.
package elect
