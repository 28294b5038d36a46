package owner

import "net/netip"

// Owner identifies the entry that owns one shard or holds a duty, by its name and incarnation.
type Owner struct {
	Entry       string
	Incarnation uint64
	// Peer is the address at which other entries reach the holder of a duty; the zero value for a shard.
	Peer netip.AddrPort
}
