package domrec

import "time"

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
	// Drained is set when the failure domain gets no new work.
	Drained bool
	// Delay is the one-way delay to the other failure domains of the region.
	Delay time.Duration
}
