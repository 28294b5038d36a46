package change

import "github.com/balsamvale/balsamvale/pkg/stored/item"

// Change is a run of changes after the revision Base, complete up to Upto.
type Change struct {
	Items []item.Item
	Base  int64
	Upto  int64
	// Full is set when Items is all that there was at Upto.
	Full bool
}
