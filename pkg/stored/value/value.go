package value

import (
	"github.com/balsamvale/balsamvale/pkg/duties/tenure"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/stored/batch"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/owner"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
)

// Value is a record, a member, a shard owner, a rollout's progress, a batch or the state of a duty; at most one pointer is set.
type Value struct {
	Record   *record.Record
	Member   *member.Member
	Owner    *owner.Owner
	Progress *progrs.Progress
	Batch    *batch.Batch
	Tenure   *tenure.Tenure
}
