package delta

import (
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Delta holds the changes after BaseRevision, complete up to and including Revision.
type Delta struct {
	Items        []item.Item
	BaseRevision revno.Revision
	Revision     revno.Revision
	// Full is set when Items holds every key that existed at Revision, rather than changes only.
	Full bool
}

// ValueBytes returns the size of all values in bytes.
func (d Delta) ValueBytes() int {
	n := 0
	for _, it := range d.Items {
		n += len(it.Value)
	}
	return n
}
