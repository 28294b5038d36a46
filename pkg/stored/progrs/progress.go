package progrs

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/stored/phase"
)

// Progress is how far a move has come.
type Progress struct {
	Rollout string
	// Permille is the part of the calls that go to the new version, in thousandths.
	Permille  int
	Phase     phase.Phase
	Writer    string
	SteppedAt time.Time
	// Start is when the move began.
	Start  time.Time
	Reason string
}
