// Package owner describes which entry holds a shard of the duties.
package owner
