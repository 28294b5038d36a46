package bounds

import "time"

// Bounds limits what a caller may send.
type Bounds struct {
	// Header and Body are in bytes; 0 leaves the settings in force.
	Header int
	Body   int64
	// Read is the time for a caller to send its headers.
	Read time.Duration
	// Idle is the time that a caller may leave a connection unused.
	Idle time.Duration
}
