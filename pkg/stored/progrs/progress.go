package progrs

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/stored/phase"
)

// Progress is how far a move has come.
type Progress struct {
	Move string
	// Share is the part of the calls that go to the new version, in thousandths.
	Share  int
	Phase  phase.Phase
	Driver string
	Since  time.Time
	// Start is when the move began.
	Start  time.Time
	Reason string
}
