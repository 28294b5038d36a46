package route

import (
	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/records/retry"
)

// Route is a path prefix and the rules for calls under it.
type Route struct {
	Path  string
	Class class.Class
	Retry retry.Policy
}
