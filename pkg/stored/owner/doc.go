// Package owner defines which entry owns a shard of the upstreams.
package owner
