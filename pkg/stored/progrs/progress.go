package progrs

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/stored/phase"
)

// Progress is how far a rollout has come.
type Progress struct {
	// Rollout is the name of the rollout.
	Rollout string
	// Permille is the share of the calls that go to the new version, in thousandths.
	Permille int
	Phase    phase.Phase
	// Writer is the name of the entry that wrote this step.
	Writer string
	// SteppedAt is when this step was written.
	SteppedAt time.Time
	// Start is when the rollout started.
	Start time.Time
	// Reason says why this step was taken, for operators.
	Reason string
}
