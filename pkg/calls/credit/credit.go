package credit

import "time"

// Credit permits one call in flight at a cold upstream.
type Credit struct {
	ID uint64
	// Until is when the call must have ended.
	Until time.Time
}
