package batch

import (
	"github.com/balsamvale/balsamvale/pkg/records/defect"
	"github.com/balsamvale/balsamvale/pkg/records/record"
)

// Batch is a set of records that replaces the previous set under the same key as a whole.
type Batch struct {
	Records []*record.Record
	// Version is the number that the operator gave this set.
	Version int64
	// Defects says what of the set cannot be read and is not in force.
	Defects []defect.Defect
	// Warnings says what of the set applies only in part.
	Warnings []string
	// AccountErrors says what of the client accounts of the set is invalid and left out. No text contains a key.
	AccountErrors []string
}
