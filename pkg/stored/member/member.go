package member

import "net/netip"

// Member is one running entry of the fleet.
type Member struct {
	Name   string
	Domain string
	Peer   netip.AddrPort
	// Boot identifies the start of the process.
	Boot uint64
	// Leave is set when the entry is stopping.
	Leave bool
}
