package snap

import (
	"github.com/balsamvale/balsamvale/pkg/control/rules"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
)

// Snapshot is the configuration in force at one revision.
type Snapshot struct {
	Revision int64
	Services map[string]*svcfg.Config
	// Rules finds the rule of a call; nil sends calls by the service that their path names.
	Rules *rules.Rules
	// Bounds is what callers may send, or nil for the settings.
	Bounds *bounds.Bounds
}
