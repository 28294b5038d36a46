// Package issuer issues the credits for calls to cold upstreams, on the entry that owns their shard.
package issuer
