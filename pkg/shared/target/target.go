package target

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
)

// Target is an upstream with what control knows of it.
type Target struct {
	upsrec.Upstream
	// Delay is the one-way delay from this entry.
	Delay time.Duration
	// DomainDrained is set when the failure domain is out.
	DomainDrained bool
	// Draining is set when the upstream leaves.
	Draining bool
	// ColdUntil is the time until which the upstream counts as cold.
	ColdUntil time.Time
	// Incarnation is the start identity to which Cold belongs; 0 when not known.
	Incarnation uint64
}

// Available reports whether the target may get new work.
func (t *Target) Available() bool { return !t.DomainDrained && !t.Draining }
