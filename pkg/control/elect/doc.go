// Package elect decides which shards of the duties an entry takes and gives up.
package elect
