package store

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/balsamvale/balsamvale/internal/capped"
	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/seams"
	"github.com/balsamvale/balsamvale/internal/stall"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// ErrCallFailed is matched by errors about a store call whose outcome is unknown.
var ErrCallFailed = eris.New("store call failed")

// errTooLarge is matched by the errors about a message of more than tune.MaxMessageBytes, beside ErrCallFailed.
var errTooLarge = eris.Wrap(ErrCallFailed, "message is too large")

// Client calls the store; it is safe for concurrent use.
//
// After a failed call, further calls go to the next of its addresses.
type Client struct {
	clock clock.Clock
	// endpoints has a client for each address.
	endpoints []rpc.StoreClient
	// current, modulo the number of endpoints, is the index of the endpoint in use.
	current atomic.Uint32
	// Reads counts the calls of Get, List and Watch.
	Reads atomic.Uint64
	// Writes counts the calls of CompareAndSwap and for leases.
	Writes atomic.Uint64
}

// New returns a client that reaches the store through h at the given addresses, of which there must be one at least.
func New(clk clock.Clock, h *http.Client, addrs []netip.AddrPort) *Client {
	bounded := *h
	bounded.Transport = stall.Wrap(&capped.Transport{Base: h.Transport})
	c := &Client{clock: clk}
	for _, a := range addrs {
		c.endpoints = append(c.endpoints, rpc.NewStoreClient(&bounded, "http://"+a.String(), connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(tune.MaxMessageBytes)))
	}
	return c
}

// Seams returns the functions through which an entry reaches the store, with the project's own headers.
//
// Its Reload does nothing and reports no change.
func (c *Client) Seams() *seams.Seams {
	return &seams.Seams{
		CallStore: c.Do, Get: c.Get, CompareAndSwap: c.CompareAndSwap, Decode: codec.Decode, Headers: header.Default(),
		Reload:     func() (bool, error) { return false, nil },
		Settings:   func() []string { return nil },
		StoreReads: c.Reads.Load, StoreWrites: c.Writes.Load,
	}
}

// endpoint returns the endpoint in use.
func (c *Client) endpoint() rpc.StoreClient {
	return c.endpoints[int(c.current.Load())%len(c.endpoints)]
}

// failover selects the next address and returns an error that matches ErrCallFailed and has the text of err.
//
// It does not wrap err, so that the RPC library stays hidden from callers.
func (c *Client) failover(err error) error {
	c.current.Add(1)
	// The store answers with the same code when its limit of calls is exceeded.
	if connect.CodeOf(err) == connect.CodeResourceExhausted && !connect.IsWireError(err) {
		return eris.Wrap(errTooLarge, err.Error())
	}
	return eris.Wrap(ErrCallFailed, err.Error())
}

// Do carries out a request of control; after a failed call, the response has OutcomeUnknown set.
//
// It waits at most tune.StoreTimeout for the response; a list or watch may take tune.TransferTimeout while it makes progress,
// and a watch its own wait in addition.
func (c *Client) Do(ctx context.Context, req kvreq.Request) kvresp.Response {
	call := &stall.Call{Clock: c.clock, Silence: tune.StoreTimeout, Total: tune.TransferTimeout}
	switch req.Op {
	case kvop.List, kvop.Watch:
		if req.Op == kvop.Watch {
			call.Wait = req.Wait
		}
		ctx = call.Begin(ctx)
		defer call.End()
	default:
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, tune.StoreTimeout)
		defer cancel()
	}
	res, err := c.execute(ctx, req)
	if err != nil {
		tooLarge := req.Op == kvop.Watch && (eris.Is(err, errTooLarge) || eris.Is(context.Cause(ctx), stall.ErrSlow))
		return kvresp.Response{ID: req.ID, OutcomeUnknown: true, TooLarge: tooLarge}
	}
	res.ID = req.ID
	if req.Op == kvop.Watch {
		res.RespondedAt = call.RespondedAt()
	}
	return res
}

// execute makes the call for the operation of a request; errors match ErrCallFailed.
func (c *Client) execute(ctx context.Context, req kvreq.Request) (kvresp.Response, error) {
	switch req.Op {
	case kvop.List:
		items, rev, more, err := c.List(ctx, req.Key, req.After)
		return kvresp.Response{Items: items, Revision: rev, More: more, Applied: true}, err
	case kvop.Watch:
		return c.watch(ctx, req)
	case kvop.Lease:
		return c.lease(ctx, req)
	case kvop.CompareAndSwap:
		data, err := codec.Encode(req.Value)
		if err != nil {
			return kvresp.Response{}, eris.Wrap(ErrCallFailed, err.Error())
		}
		done, it, err := c.CompareAndSwap(ctx, item.Item{Key: req.Key, Value: data, Tombstone: req.Delete}, req.ExpectedRevision, req.LeaseID)
		return kvresp.Response{Applied: done, Revision: it.Revision}, err
	}
	it, err := c.Get(ctx, req.Key)
	return kvresp.Response{Items: []item.Item{it}, Revision: it.Revision, Applied: true}, err
}

// Get reads a key; a missing key has revision 0. Errors match ErrCallFailed.
func (c *Client) Get(ctx context.Context, key string) (item.Item, error) {
	c.Reads.Add(1)
	res, err := c.endpoint().Get(ctx, connect.NewRequest(&pb.GetRequest{Key: key}))
	if err != nil {
		return item.Item{}, c.failover(err)
	}
	if res.Msg.GetItem() == nil {
		return item.Item{Key: key}, nil
	}
	return codec.ItemFromProto(res.Msg.GetItem()), nil
}

// CompareAndSwap writes a key if its revision is expect, and reports whether it did. A tombstone removes the key.
//
// An expect of 0 means that the key must not exist. Under a lease other than 0, the key is removed when the lease expires.
// The returned item is the one written, without its value, or the one stored if nothing was written.
//
// An error matches ErrCallFailed and means that the write may have taken effect.
func (c *Client) CompareAndSwap(ctx context.Context, it item.Item, expect revno.Revision, lease int64) (bool, item.Item, error) {
	c.Writes.Add(1)
	req := &pb.SwapRequest{Key: it.Key, Value: it.Value, Expect: expect.Number(), Lease: lease, Gone: it.Tombstone}
	res, err := c.endpoint().Swap(ctx, connect.NewRequest(req))
	if err != nil {
		return false, item.Item{}, c.failover(err)
	}
	return res.Msg.GetDone(), codec.ItemFromProto(res.Msg.GetItem()), nil
}

// List reads a page of the items under a prefix whose keys are greater than after, and the revision of the store.
//
// It reports in more whether further pages follow. Errors match ErrCallFailed.
func (c *Client) List(ctx context.Context, prefix, after string) (items []item.Item, revision revno.Revision, more bool, err error) {
	c.Reads.Add(1)
	req := &pb.ListRequest{Prefix: prefix, After: after, Limit: tune.MaxPageItems}
	res, err := c.endpoint().List(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, 0, false, c.failover(err)
	}
	return codec.ItemsFromProto(res.Msg.GetItem()), revno.New(0, res.Msg.GetRevision()), res.Msg.GetMore(), nil
}

// All reads all items under a prefix, page by page; they need not be of one revision. Errors match ErrCallFailed.
func (c *Client) All(ctx context.Context, prefix string) ([]item.Item, error) {
	var out []item.Item
	after := ""
	for {
		page, _, more, err := c.List(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		out = append(out, page...)
		if !more || len(page) == 0 {
			return out, nil
		}
		after = page[len(page)-1].Key
	}
}

// watch waits for changes under a prefix after a revision, for at most the wait of the request.
func (c *Client) watch(ctx context.Context, req kvreq.Request) (kvresp.Response, error) {
	c.Reads.Add(1)
	msg := &pb.WatchRequest{Prefix: []string{req.Key}, After: req.SinceRevision.Number(), Wait: durationpb.New(req.Wait)}
	res, err := c.endpoint().Watch(ctx, connect.NewRequest(msg))
	if err != nil {
		return kvresp.Response{}, c.failover(err)
	}
	m := res.Msg
	return kvresp.Response{Items: codec.ItemsFromProto(m.GetItem()), Revision: revno.New(0, m.GetRevision()), Waited: len(m.GetItem()) == 0, Compacted: m.GetLost(), Applied: true}, nil
}

// lease grants a lease, or renews the one with the given ID; Applied stays unset if that lease has expired.
func (c *Client) lease(ctx context.Context, req kvreq.Request) (kvresp.Response, error) {
	c.Writes.Add(1)
	msg := &pb.LeaseRequest{Id: req.LeaseID, Ttl: durationpb.New(req.TTL)}
	res, err := c.endpoint().Lease(ctx, connect.NewRequest(msg))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return kvresp.Response{}, nil
	}
	if err != nil {
		return kvresp.Response{}, c.failover(err)
	}
	return kvresp.Response{Applied: true, LeaseID: res.Msg.GetId()}, nil
}

// Watch waits at most wait for changes under a prefix after the revision since; it returns the changed items and the
// revision of the store. Errors match ErrCallFailed.
func (c *Client) Watch(ctx context.Context, prefix string, since revno.Revision, wait time.Duration) ([]item.Item, revno.Revision, error) {
	res, err := c.watch(ctx, kvreq.Request{Key: prefix, SinceRevision: since, Wait: wait})
	return res.Items, res.Revision, err
}
