package seams

import (
	"context"

	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/pkg/duties/usage"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Seams is how an entry reaches its store, decodes the store's items, and reads and writes the headers of callers and
// upstreams.
type Seams struct {
	// CallStore carries out a store request of control. If the outcome is not known, the response says so.
	CallStore func(ctx context.Context, req kvreq.Request) kvresp.Response
	// Get reads one key; a missing key has revision 0.
	Get func(ctx context.Context, key string) (item.Item, error)
	// CompareAndSwap writes or removes a key if its revision is the expected one, and attaches it to a lease unless
	// leaseID is 0. It reports whether it did so, and then returns the key with its new revision. After an error the
	// change may have taken effect.
	CompareAndSwap func(ctx context.Context, it item.Item, expectedRevision revno.Revision, leaseID int64) (bool, item.Item, error)
	// Decode turns an item under keys.ControlPrefix into a value.
	Decode func(it item.Item) (value.Value, error)
	// Headers reads and writes the headers of calls, attempts, responses and refusals.
	Headers *header.Codec
	// Reload reads the settings file again, puts in force what can change while the entry runs, and reports whether
	// the file has changed.
	Reload func() (changed bool, err error)
	// Settings returns the settings in force that the options do not hold, as lines of the form key=value.
	Settings func() []string
	// ReportUsage sends the usage report of a window in the name of a holder with a fencing token. The status is 0 without an answer:
	// the report may be taken in all the same, also later. Nil if usage is not reported.
	ReportUsage func(ctx context.Context, holder string, token int64, u usage.Usage) (status int, err error)
	// StoreReads returns the number of read requests sent to the store.
	StoreReads func() uint64
	// StoreWrites returns the number of write requests sent to the store.
	StoreWrites func() uint64
}
