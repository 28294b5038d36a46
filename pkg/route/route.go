package route

import (
	"github.com/balsamvale/balsamvale/pkg/class"
	"github.com/balsamvale/balsamvale/pkg/repeat"
)

// Route is a path prefix and the rules for calls under it.
type Route struct {
	Path   string
	Class  class.Class
	Repeat repeat.Repeat
}
