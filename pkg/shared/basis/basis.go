package basis

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Basis is the configuration that an entry decides with, and how old it is.
type Basis struct {
	// Revision is the revision of the records in force; 0 while there are none.
	Revision revno.Revision
	// Age is the time since the records were last known to match the store; negative while there are none.
	Age time.Duration
}
