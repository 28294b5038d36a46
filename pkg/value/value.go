package value

import (
	"github.com/balsamvale/balsamvale/pkg/member"
	"github.com/balsamvale/balsamvale/pkg/progrs"
	"github.com/balsamvale/balsamvale/pkg/record"
	"github.com/balsamvale/balsamvale/pkg/tenure"
)

// Value is a record, a member, a tenure or a progress; one pointer is set.
type Value struct {
	Record   *record.Record
	Member   *member.Member
	Tenure   *tenure.Tenure
	Progress *progrs.Progress
}
