package movrec

import "time"

// Move is a planned move of a service from one version to another.
type Move struct {
	Name     string
	Service  string
	From     string
	To       string
	Start    time.Time
	Deadline time.Time
}
