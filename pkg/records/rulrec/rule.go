package rulrec

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/records/retry"
	"github.com/balsamvale/balsamvale/pkg/records/split"
)

// Rule sends the calls to a host and path prefix to one or more services.
type Rule struct {
	Name string
	Host string
	// Path is the path prefix, which begins and ends with a slash.
	Path string
	// Retry says whether the calls may be sent again.
	Retry retry.Policy
	// Timeout is the longest time that a call may take; 0 uses the timeout of the service.
	Timeout time.Duration
	// TargetLatency is the time within which a response is of full use to the caller; 0 sets no such time.
	TargetLatency time.Duration
	// MaxAttempts is the number of upstreams that may run one call; 0 sets no limit besides tune.MaxAttempts, which always
	// applies.
	MaxAttempts int
	// Priority weighs calls that compete for a service: from 0, each higher number halves the weight. Among calls that need like
	// work, lower numbers go first.
	Priority int
	// Splits lists the services that share the calls.
	Splits []split.Split
	// Public is set if the calls need no key of a client account.
	Public bool
	// Defect says why the record cannot be carried out as operators wrote it; its calls are refused then. It is empty for a valid record.
	//
	// A defective rule without a path applies to the calls of its host that no other rule matches, and one without a host to those of
	// all hosts: any of them may be what the rule is about.
	Defect string
}
