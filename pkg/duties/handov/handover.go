package handov

import "github.com/balsamvale/balsamvale/pkg/duties/usage"

// Handover holds the counts of one entry for windows that it does not know to be decided.
type Handover struct {
	// From is the name and the incarnation of the entry, which tell apart the counts before and after a restart.
	From   string
	Usages []usage.Usage
	// Leaving is set if the entry ends and hands over all that it has, also for the window that has not ended.
	Leaving bool
	// DecidedTo is the last window that the entry knows to be decided.
	DecidedTo int64
}
