package status

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/records/reject"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Status is the state of one entry and what it has in force.
type Status struct {
	// Name is that of the entry, and Domain that of its failure domain.
	Name   string
	Domain string
	// Revision is the highest revision at which a record was put in force or removed.
	Revision revno.Revision
	// RevisionSince is the time at which Revision came into force.
	RevisionSince time.Time
	// Ready is set while the entry has a configuration and is not stopping.
	Ready bool
	// StoreReachable is set when the store recently answered a list or watch of this entry. An entry that receives the
	// changes from its peers sends none.
	StoreReachable bool
	// Members is the number of entries in the fleet, as far as this entry knows.
	Members int
	// OwnedShards lists the store keys of the shards that the entry owns.
	OwnedShards []string
	// Rejects lists the records, and the parts of records, that are not in force, by key.
	Rejects []reject.Reject
	// Rollouts lists all rollouts by name, with their progress as this entry acts on it.
	Rollouts []progrs.Progress
}
