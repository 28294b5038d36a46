package stmt

import "time"

// Statement is what an answer says about the calls that its upstream takes from now on.
type Statement struct {
	// Limit is the number of calls a second that the upstream takes from all entries together; 0 if it names none.
	Limit float64
	// Unclear is set if the upstream names a limit that cannot be read, so that the one it named before stays in force.
	Unclear bool
	// Leaving is set if the upstream takes no new calls and is about to end.
	Leaving bool
	// Pause is how long the upstream wants nothing from this entry; 0 if it does not say.
	Pause time.Duration
}
