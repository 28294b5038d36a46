package phase

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Phase -linecomment

// Phase says how far a rollout has come.
type Phase int

// The phases of a rollout; their numbers are those of the enum Progress.Phase in the schema.
const (
	// Planned means that the rollout has not started.
	Planned Phase = iota // planned
	// Shifting means that the share of the new version is being raised.
	Shifting // moving
	// Done means that all calls go to the new version.
	Done // done
	// RolledBack means that all calls go to the old version again.
	RolledBack // reverted
)
