package credit

import "time"

// Credit allows one call to be in flight at a cold upstream.
type Credit struct {
	ID uint64
	// Until is the time at which the call must have ended.
	Until time.Time
}
