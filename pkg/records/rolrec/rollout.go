package rolrec

import "time"

// Rollout moves a service from one version to another by a deadline.
type Rollout struct {
	Name string
	// Service is the name of the service.
	Service string
	// From is the old version; empty stands for all versions other than To.
	From string
	// To is the new version.
	To string
	// Start is when calls begin to move to the new version.
	Start time.Time
	// Deadline is when the rollout has to be complete.
	Deadline time.Time
	// Duration is the time for the whole rollout if it starts as soon as an entry reads the record; 0 if Start and
	// Deadline are given.
	Duration time.Duration
}
