package tally

import "time"

// Tally counts the calls that ended at one upstream of a rollout's new version, for the canary analysis.
type Tally struct {
	Upstream string
	Calls    int
	// Failures counts the calls that failed, and SlowCalls those answered clearly slower than by the old version.
	Failures, SlowCalls int
	// UnjudgedTimes are the response times of answers that are not among Calls, because their entry knew too few calls of the
	// old version to tell whether they are slow.
	UnjudgedTimes []time.Duration
	// TotalTime is the sum of the response times of the answered calls to the old version.
	TotalTime time.Duration
}
