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

	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/seams"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
)

// ErrCallFailed is what the errors about calls match whose outcome is not known.
var ErrCallFailed = eris.New("store call failed")

// Client calls the store, at the next address after a failure; it is safe for concurrent use.
type Client struct {
	endpoints []rpc.StoreClient
	current   atomic.Uint32
	// Reads and Writes count the calls made.
	Reads  atomic.Uint64
	Writes atomic.Uint64
}

// New returns a client for the given addresses.
func New(h *http.Client, addrs []netip.AddrPort) *Client {
	c := &Client{}
	for _, a := range addrs {
		c.endpoints = append(c.endpoints, rpc.NewStoreClient(h, "http://"+a.String(), connect.WithAcceptCompression("gzip", nil, nil)))
	}
	return c
}

// Seams joins an entry to the store, with the project's own headers.
func (c *Client) Seams() *seams.Seams {
	return &seams.Seams{
		CallStore: c.Do, Get: c.Get, CompareAndSwap: c.CompareAndSwap, Decode: codec.Decode, Headers: header.Default(),
		Reload:     func() (bool, error) { return false, nil },
		StoreReads: c.Reads.Load, StoreWrites: c.Writes.Load,
	}
}

func (c *Client) endpoint() rpc.StoreClient {
	return c.endpoints[int(c.current.Load())%len(c.endpoints)]
}

// failover moves on to the next address and hides the layer below.
func (c *Client) failover(err error) error {
	c.current.Add(1)
	return eris.Wrap(ErrCallFailed, err.Error())
}

// Do carries out an order of control; a failed call gives a reply that says so.
func (c *Client) Do(ctx context.Context, o kvreq.Request) kvresp.Response {
	timeout := tune.StoreTimeout
	if o.Op == kvop.Watch {
		timeout += o.Wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := c.execute(ctx, o)
	if err != nil {
		return kvresp.Response{ID: o.ID, OutcomeUnknown: true}
	}
	r.ID = o.ID
	return r
}

func (c *Client) execute(ctx context.Context, o kvreq.Request) (kvresp.Response, error) {
	switch o.Op {
	case kvop.List:
		items, rev, more, err := c.List(ctx, o.Key, o.After)
		return kvresp.Response{Items: items, Revision: rev, More: more, Applied: true}, err
	case kvop.Watch:
		return c.watch(ctx, o)
	case kvop.Lease:
		return c.lease(ctx, o)
	case kvop.CompareAndSwap:
		data, err := codec.Encode(o.Value)
		if err != nil {
			return kvresp.Response{}, eris.Wrap(ErrCallFailed, err.Error())
		}
		done, it, err := c.CompareAndSwap(ctx, item.Item{Key: o.Key, Value: data, Tombstone: o.Delete}, o.ExpectedRevision, o.LeaseID)
		return kvresp.Response{Applied: done, Revision: it.Revision}, err
	}
	it, err := c.Get(ctx, o.Key)
	return kvresp.Response{Items: []item.Item{it}, Revision: it.Revision, Applied: true}, err
}

// Get reads a key; a missing one has revision 0. Errors match ErrCall.
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

// CompareAndSwap writes a key if its revision is the expected one, and returns the item that then holds, when
// written without its value.
//
// An error matches ErrCall and means that the write may have taken effect.
func (c *Client) CompareAndSwap(ctx context.Context, it item.Item, expect, lease int64) (bool, item.Item, error) {
	c.Writes.Add(1)
	req := &pb.SwapRequest{Key: it.Key, Value: it.Value, Expect: expect, Lease: lease, Gone: it.Tombstone}
	res, err := c.endpoint().Swap(ctx, connect.NewRequest(req))
	if err != nil {
		return false, item.Item{}, c.failover(err)
	}
	return res.Msg.GetDone(), codec.ItemFromProto(res.Msg.GetItem()), nil
}

// List reads a page of the keys under a prefix, with the store's revision. Errors match ErrCall.
func (c *Client) List(ctx context.Context, prefix, after string) (items []item.Item, revision int64, more bool, err error) {
	c.Reads.Add(1)
	req := &pb.ListRequest{Prefix: prefix, After: after, Limit: tune.MaxPageItems}
	res, err := c.endpoint().List(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, 0, false, c.failover(err)
	}
	return codec.ItemsFromProto(res.Msg.GetItem()), res.Msg.GetRevision(), res.Msg.GetMore(), nil
}

// All reads all keys under a prefix. Errors match ErrCall.
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

func (c *Client) watch(ctx context.Context, o kvreq.Request) (kvresp.Response, error) {
	c.Reads.Add(1)
	req := &pb.WatchRequest{Prefix: []string{o.Key}, After: o.SinceRevision, Wait: durationpb.New(o.Wait)}
	res, err := c.endpoint().Watch(ctx, connect.NewRequest(req))
	if err != nil {
		return kvresp.Response{}, c.failover(err)
	}
	m := res.Msg
	return kvresp.Response{Items: codec.ItemsFromProto(m.GetItem()), Revision: m.GetRevision(), Compacted: m.GetLost(), Applied: true}, nil
}

func (c *Client) lease(ctx context.Context, o kvreq.Request) (kvresp.Response, error) {
	c.Writes.Add(1)
	req := &pb.LeaseRequest{Id: o.LeaseID, Ttl: durationpb.New(o.TTL)}
	res, err := c.endpoint().Lease(ctx, connect.NewRequest(req))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return kvresp.Response{}, nil
	}
	if err != nil {
		return kvresp.Response{}, c.failover(err)
	}
	return kvresp.Response{Applied: true, LeaseID: res.Msg.GetId()}, nil
}

// Watch watches a prefix for changes after a revision. Errors match ErrCall.
func (c *Client) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) ([]item.Item, int64, error) {
	r, err := c.watch(ctx, kvreq.Request{Key: prefix, SinceRevision: since, Wait: wait})
	return r.Items, r.Revision, err
}
