package delta

import "github.com/balsamvale/balsamvale/pkg/stored/item"

// Delta is a run of changes after the revision Base, complete up to Upto.
type Delta struct {
	Items        []item.Item
	BaseRevision int64
	Revision     int64
	// Full is set when Items is all that there was at Upto.
	Full bool
}
