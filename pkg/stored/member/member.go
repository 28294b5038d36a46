package member

import "net/netip"

// Member is one running entry of the fleet.
type Member struct {
	Name   string
	Domain string
	Peer   netip.AddrPort
	// Incarnation identifies the start of the process.
	Incarnation uint64
	// Draining is set when the entry is stopping.
	Draining bool
}
