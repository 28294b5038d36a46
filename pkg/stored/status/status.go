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
	Revision      int64
	RevisionSince time.Time
	// Ready is set once the entry has a configuration and does not stop.
	Ready bool
	// StoreReachable is set when the store answered lately.
	StoreReachable bool
	Members        int
	OwnedShards    []string
	Rejects        []reject.Reject
	Rollouts       []progrs.Progress
}
