package rolrec

import "time"

// Rollout is a planned move of a service from one version to another.
type Rollout struct {
	Name    string
	Service string
	// From is the version that is left; empty for all others.
	From     string
	To       string
	Start    time.Time
	Deadline time.Time
	// Duration is the time for the whole move when it starts as soon as it is read; 0 with a Start.
	Duration time.Duration
}
