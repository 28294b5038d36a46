package snap

import (
	"github.com/balsamvale/balsamvale/pkg/control/accts"
	"github.com/balsamvale/balsamvale/pkg/control/rules"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Snapshot is an immutable copy of the configuration in force.
type Snapshot struct {
	// Revision is the highest store revision at which a record was put in force or removed.
	Revision revno.Revision
	// Services holds the services by name.
	Services map[string]*svcfg.Config
	// Rules finds the routing rule for a call; when it is nil, the path of a call names its service.
	Rules *rules.Rules
	// Bounds limits what callers may send; nil applies the limits of the settings.
	Bounds *bounds.Bounds
	// Accounts finds the client account of a call; when it is nil, calls need no key.
	Accounts *accts.Table
	// OperatorRevision is the highest store revision at which a service, a routing rule, the limits or a client account changed; 0 if there was none.
	OperatorRevision revno.Revision
	// Version is the number that the operators gave their configuration; 0 if it has none.
	Version int64
	// NotInForce is the number of records, and of parts of records, that cannot be read.
	NotInForce int
	// Source is "store", or the name of the peer from which the latest changes came.
	Source string
}
