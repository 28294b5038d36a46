package digest

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
)

// Digest is an entry's revision, its live facts, and changes that its peer lacks.
type Digest struct {
	From string
	// Revision is that up to which the sender's catalog is complete.
	Revision int64
	// Age is how long ago the sender's catalog was surely that of the store.
	Age   time.Duration
	Facts []fact.Fact
	Delta delta.Delta
}
