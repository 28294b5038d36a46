package decis

import (
	"github.com/balsamvale/balsamvale/pkg/duties/handov"
	"github.com/balsamvale/balsamvale/pkg/duties/usage"
)

// Decisions is what the store keeps of the usage reports, so that a later holder repeats them exactly.
type Decisions struct {
	// To is the last window that is decided; all before it are, too.
	To int64
	// Open holds the decided reports that are not known to have been accepted, the oldest first.
	Open []usage.Usage
	// Carry holds the counts of entries that have ended, for windows that are not decided.
	Carry []handov.Handover
}
