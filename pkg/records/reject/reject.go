package reject

import "github.com/balsamvale/balsamvale/pkg/stored/revno"

// Reject is a record that could not be decoded or is invalid, and so is not in force, or a defective part of a record.
//
// The previous record under its key stays in force, unless it is that of an upstream that announces itself and
// is not draining. A part that is not in force leaves the previous one out of force too.
type Reject struct {
	// Key is the store key of the record.
	Key string
	// Revision is that of the rejected write.
	Revision revno.Revision
	// Err says what is wrong with the record.
	Err error
}
