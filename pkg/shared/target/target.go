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
	// Out is set when the failure domain is out.
	Out bool
	// Leaving is set when the upstream leaves.
	Leaving bool
	// Cold is the time until which the upstream counts as cold.
	Cold time.Time
	// Boot is the start identity to which Cold belongs; 0 when not known.
	Boot uint64
}

// Open reports whether the target may get new work.
func (t *Target) Open() bool { return !t.Out && !t.Leaving }
