package status

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/records/reject"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
)

// Status is what is in force on one entry.
type Status struct {
	Name   string
	Domain string
	// Revision is that of the newest record in force, and Since the time it came into force.
	Revision int64
	Since    time.Time
	// Ready is set once the entry has a configuration and does not stop.
	Ready bool
	// Store is set when the store answered lately.
	Store   bool
	Members int
	Duties  []string
	Rejects []reject.Reject
	Moves   []progrs.Progress
}
