package tally

import "time"

// Tally counts the calls of one version on one route over a period; cold upstreams are left out.
type Tally struct {
	Version string
	Route   string
	Calls   int
	Failed  int
	// Slow counts the answers that took longer than the old version's usual longest.
	Slow int
	// Took is the sum of the times of whole answers.
	Took time.Duration
}
