package bounds

import "time"

// Bounds limits what a caller may send.
type Bounds struct {
	// MaxHeaderBytes and Body are in bytes; 0 leaves the settings in force.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// ReadHeaderTimeout is the time for a caller to send its headers.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is the time that a caller may leave a connection unused.
	IdleTimeout time.Duration
}
