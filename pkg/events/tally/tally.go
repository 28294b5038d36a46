package tally

// Tally counts the calls that ended at one upstream of a rollout's new version, for the canary analysis.
type Tally struct {
	Upstream string
	Calls    int
	// Failures counts the calls that failed, and SlowCalls those answered clearly slower than by the old version.
	Failures, SlowCalls int
}
