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
	"github.com/balsamvale/balsamvale/internal/eras"
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
	eras    eras.Tracker
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
		if req.LeaseID != 0 && req.LeaseEra != req.ExpectedRevision.Era() {
			return kvresp.Response{}, nil
		}
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

// observe takes in the era that a response names; errors match ErrCallFailed.
func (c *Client) observe(h http.Header) (int64, error) {
	era, err := c.eras.Observe(h.Get(eras.Header))
	if err != nil {
		return 0, eris.Wrap(ErrCallFailed, err.Error())
	}
	return era, nil
}

// Absent returns the revision of a key that does not exist in the era of the store that was named last.
func (c *Client) Absent() revno.Revision { return revno.New(c.eras.Era(), 0) }

// Get reads a key; the revision of a missing key has number 0. Errors match ErrCallFailed.
func (c *Client) Get(ctx context.Context, key string) (item.Item, error) {
	c.Reads.Add(1)
	res, err := c.endpoint().Get(ctx, connect.NewRequest(&pb.GetRequest{Key: key}))
	if err != nil {
		return item.Item{}, c.failover(err)
	}
	era, err := c.observe(res.Header())
	if err != nil {
		return item.Item{}, err
	}
	it := codec.ItemFromStore(era, res.Msg.GetItem())
	it.Key = key
	return it, nil
}

// CompareAndSwap writes a key if its revision is expect, and reports whether it did. A tombstone removes the key.
//
// An expect of number 0 means that the key must not exist. Under a lease other than 0, which must be of the era of expect, the
// key is removed when the lease expires. The returned item is the one written, without its value, or the one stored if nothing was
// written.
//
// A write whose expect is of an earlier era than that of the store is not sent, since the store gives out the same numbers again.
// One that the store carries out in a later era than that of expect is an error.
//
// An error matches ErrCallFailed and means that the write may have taken effect.
func (c *Client) CompareAndSwap(ctx context.Context, it item.Item, expect revno.Revision, lease int64) (bool, item.Item, error) {
	if !c.eras.Known() {
		if _, err := c.Get(ctx, it.Key); err != nil {
			return false, item.Item{}, err
		}
	}
	if c.eras.Passed(expect.Era()) {
		return false, item.Item{Key: it.Key, Revision: c.Absent()}, nil
	}
	c.Writes.Add(1)
	req := &pb.SwapRequest{Key: it.Key, Value: it.Value, Expect: expect.Number(), Lease: lease, Gone: it.Tombstone}
	res, err := c.endpoint().Swap(ctx, connect.NewRequest(req))
	if err != nil {
		return false, item.Item{}, c.failover(err)
	}
	era, err := c.observe(res.Header())
	switch {
	case err != nil:
		return false, item.Item{}, err
	case res.Msg.GetDone() && era != expect.Era():
		return false, item.Item{}, eris.Wrapf(ErrCallFailed, "write %s: carried out in era %d, under a condition of era %d", it.Key, era, expect.Era())
	}
	return res.Msg.GetDone(), codec.ItemFromStore(era, res.Msg.GetItem()), nil
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
	era, err := c.observe(res.Header())
	if err != nil {
		return nil, 0, false, err
	}
	return codec.ItemsFromStore(era, res.Msg.GetItem()), revno.New(era, res.Msg.GetRevision()), res.Msg.GetMore(), nil
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

// watch waits for changes under a prefix after a revision, for at most the wait of the request. If the store is in a later era than
// that of the revision, the changes after it are not known.
func (c *Client) watch(ctx context.Context, req kvreq.Request) (kvresp.Response, error) {
	compacted := kvresp.Response{Revision: req.SinceRevision, Compacted: true, Applied: true}
	if c.eras.Passed(req.SinceRevision.Era()) {
		return compacted, nil
	}
	c.Reads.Add(1)
	msg := &pb.WatchRequest{Prefix: []string{req.Key}, After: req.SinceRevision.Number(), Wait: durationpb.New(req.Wait)}
	res, err := c.endpoint().Watch(ctx, connect.NewRequest(msg))
	if err != nil {
		return kvresp.Response{}, c.failover(err)
	}
	m := res.Msg
	era, err := c.eras.Observe(res.Header().Get(eras.Header))
	switch {
	case eris.Is(err, eras.ErrLate), err == nil && era != req.SinceRevision.Era():
		return compacted, nil
	case err != nil:
		return kvresp.Response{}, eris.Wrap(ErrCallFailed, err.Error())
	case m.GetLost():
		compacted.Revision = revno.New(era, m.GetRevision())
		return compacted, nil
	}
	return kvresp.Response{Items: codec.ItemsFromStore(era, m.GetItem()), Revision: revno.New(era, m.GetRevision()), Waited: len(m.GetItem()) == 0, Applied: true}, nil
}

// lease grants a lease, or renews the one with the given ID; Applied stays unset if that lease has expired. The leases of an
// earlier era are gone, and the store may grant their IDs again.
func (c *Client) lease(ctx context.Context, req kvreq.Request) (kvresp.Response, error) {
	if req.LeaseID != 0 && c.eras.Passed(req.LeaseEra) {
		return kvresp.Response{}, nil
	}
	c.Writes.Add(1)
	msg := &pb.LeaseRequest{Id: req.LeaseID, Ttl: durationpb.New(req.TTL)}
	res, err := c.endpoint().Lease(ctx, connect.NewRequest(msg))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return kvresp.Response{}, nil
	}
	if err != nil {
		return kvresp.Response{}, c.failover(err)
	}
	era, err := c.observe(res.Header())
	if err != nil {
		return kvresp.Response{}, err
	}
	if req.LeaseID != 0 && era != req.LeaseEra {
		return kvresp.Response{}, nil
	}
	return kvresp.Response{Applied: true, LeaseID: res.Msg.GetId(), LeaseEra: era}, nil
}

// Watch waits at most wait for changes under a prefix after the revision since; it returns the changed items and the
// revision of the store. Errors match ErrCallFailed.
func (c *Client) Watch(ctx context.Context, prefix string, since revno.Revision, wait time.Duration) ([]item.Item, revno.Revision, error) {
	res, err := c.watch(ctx, kvreq.Request{Key: prefix, SinceRevision: since, Wait: wait})
	return res.Items, res.Revision, err
}
