package member

import "net/netip"

// Member is one running entry of the fleet.
type Member struct {
	Name string
	// Domain is the name of the failure domain that the entry runs in.
	Domain string
	// Peer is the address at which other entries reach it.
	Peer netip.AddrPort
	// Incarnation identifies this start of the process.
	Incarnation uint64
	// Draining is set when the entry is stopping.
	Draining bool
}
