package upsrec

import (
	"net/netip"
	"time"
)

// Upstream is one back end of a service.
type Upstream struct {
	Name    string
	Service string
	Domain  string
	Addr    netip.AddrPort
	Version string
	// Drain is set when the upstream gets no new work.
	Drain bool
	// Slots is the number of calls that it runs at once; 0 for its service's.
	Slots int
	// Incarnation identifies the start of an upstream that announces itself; 0 for one that operators list.
	Incarnation uint64
	// Warmup is how long an upstream that announces itself stays cold, counted from the announcement.
	Warmup time.Duration
}
