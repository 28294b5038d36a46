// Package tenure describes which entry holds a shard of the duties.
package tenure
