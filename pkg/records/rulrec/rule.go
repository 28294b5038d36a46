package rulrec

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/records/retry"
	"github.com/balsamvale/balsamvale/pkg/records/split"
)

// Rule sends the calls of a host and path prefix to services.
type Rule struct {
	Name string
	Host string
	// Path is the prefix, which begins and ends with a slash.
	Path  string
	Retry retry.Policy
	// Timeout is the longest time that a call may take; 0 for the service's own.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is of full use; 0 for none.
	TargetLatency time.Duration
	// MaxAttempts is the number of upstreams that may run one call; 0 for the default.
	MaxAttempts int
	// Priority orders calls that compete for a service; 0 goes first.
	Priority int
	Splits   []split.Split
}
