package upsrec

import "net/netip"

// Upstream is one back end of a service.
type Upstream struct {
	Name    string
	Service string
	Domain  string
	Addr    netip.AddrPort
	Version string
	// Leave is set when the upstream gets no new work.
	Leave bool
}
