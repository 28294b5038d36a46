package bounds

import "time"

// Bounds limits what a caller may send; a field that is 0 leaves the entry's own limit in force.
type Bounds struct {
	// MaxHeaderBytes is the largest request header in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// ReadHeaderTimeout is how long a caller may take to send the headers of a request.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is how long a caller may leave a connection unused.
	IdleTimeout time.Duration
}
