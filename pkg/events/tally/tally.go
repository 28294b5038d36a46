package tally

// Tally counts the calls that an upstream of a new version ran, and how they ended.
type Tally struct {
	Upstream string
	Calls    int
	// Fails and Slows are those that failed, and those that were answered clearly slower than by the old version.
	Failures, SlowCalls int
}
