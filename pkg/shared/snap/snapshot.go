package snap

import "github.com/balsamvale/balsamvale/pkg/shared/fleet"

// Snapshot is the configuration in force at one revision.
type Snapshot struct {
	Revision int64
	Fleets   map[string]*fleet.Fleet
}
