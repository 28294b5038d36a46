package seams

import (
	"context"

	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Seams is how an entry reaches its store, reads the store's items, and speaks to callers and upstreams.
type Seams struct {
	// CallStore carries out an order of control; a call whose outcome is not known gives a reply that says so.
	CallStore func(ctx context.Context, o kvreq.Request) kvresp.Response
	// Get reads one key, and Swap writes one if its revision is the expected one.
	Get            func(ctx context.Context, key string) (item.Item, error)
	CompareAndSwap func(ctx context.Context, it item.Item, expect, lease int64) (bool, item.Item, error)
	// Decode turns an item into a value.
	Decode  func(it item.Item) (value.Value, error)
	Headers *header.Codec
	// Reload reads the settings file again, puts in force what can change while the entry runs, and reports whether
	// the file was another one.
	Reload func() (changed bool, err error)
	// StoreReads and Writes tell how many calls were made.
	StoreReads  func() uint64
	StoreWrites func() uint64
}
