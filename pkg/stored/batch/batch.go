package batch

import "github.com/balsamvale/balsamvale/pkg/records/record"

// Batch is a set of records that replaces the earlier set under the same key as a whole.
type Batch struct {
	Records []*record.Record
	// Version is the operator's number of the set.
	Version int64
}
