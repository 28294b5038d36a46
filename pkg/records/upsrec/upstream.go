package upsrec

import (
	"net/netip"
	"time"
)

// Upstream is one server of a service.
type Upstream struct {
	Name string
	// Service is the name of the service that it belongs to.
	Service string
	// Domain is the name of its failure domain.
	Domain string
	Addr   netip.AddrPort
	// Version is the version of the service that it runs.
	Version string
	// Drain is set when the upstream gets no new calls.
	Drain bool
	// Slots is the number of calls that it runs concurrently; 0 uses the number of its service.
	Slots int
	// Incarnation identifies the start of an upstream that announces itself; 0 for one that operators configure.
	Incarnation uint64
	// Sequence counts the announcements of one incarnation.
	Sequence int64
	// Warmup is how long an upstream that announces itself stays cold, counted from its announcement.
	Warmup time.Duration
}
