package target

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
)

// Target is an upstream and what control knows about it.
type Target struct {
	upsrec.Upstream
	// Delay is the one-way network delay from this entry.
	Delay time.Duration
	// DomainDrained is set when operators have taken the upstream's failure domain out of service.
	DomainDrained bool
	// Draining is set when the upstream finishes its calls and takes no new ones.
	Draining bool
	// ColdUntil is the time until which the upstream counts as cold.
	ColdUntil time.Time
	// Incarnation identifies the start of the upstream that ColdUntil belongs to; 0 when not known.
	Incarnation uint64
}

// Available reports whether the target may get new calls.
func (t *Target) Available() bool { return !t.DomainDrained && !t.Draining }
