package domrec

import "time"

// Domain is a failure domain.
type Domain struct {
	Name string
	// Region is the name of the region that the failure domain belongs to.
	Region string
	// Drained is set when the upstreams of the failure domain get no new calls.
	Drained bool
	// Delay is the one-way network delay to the other failure domains of the region.
	Delay time.Duration
}
