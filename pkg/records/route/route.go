package route

import (
	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/records/retry"
)

// Route is a path prefix and the settings for calls under it.
type Route struct {
	// Path is the prefix; for a call that a routing rule matched, it is the name of the rule.
	Path  string
	Class class.Class
	Retry retry.Policy
}
