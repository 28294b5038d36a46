package peers

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
	"github.com/balsamvale/balsamvale/internal/meter"
	"github.com/balsamvale/balsamvale/internal/stall"
	"github.com/balsamvale/balsamvale/pkg/calls/credit"
	"github.com/balsamvale/balsamvale/pkg/calls/demand"
	"github.com/balsamvale/balsamvale/pkg/duties/ack"
	"github.com/balsamvale/balsamvale/pkg/duties/handov"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/events/xkind"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// ErrPeer is matched by the errors about a peer that did not answer.
var ErrPeer = eris.New("peer did not answer")

// Service serves the peer protocol for one entry and calls other entries; it is safe for concurrent use.
type Service struct {
	// Submit passes an event to control and returns the effect that answers it.
	Submit func(ctx context.Context, ev event.Event) (effect.Effect, error)
	// LocalStatus returns the state of this entry and what it has in force.
	LocalStatus func(ctx context.Context) (*pb.StatusResponse, error)

	// Meter counts the bytes exchanged with peers; it may be nil.
	Meter *meter.Meter
	// TakeUsage takes in the usage counts of a peer; nil if the entry has no duties.
	TakeUsage func(ctx context.Context, h handov.Handover) (ack.Ack, error)

	// InvalidAges counts the digests of peers whose age no replica can have.
	InvalidAges atomic.Uint64

	clock clock.Clock
	http  *http.Client
}

// New returns a service that calls peers through client; Submit and LocalStatus have to be set before it serves.
func New(c clock.Clock, client *http.Client) *Service {
	bounded := *client
	bounded.Transport = stall.Wrap(&capped.Transport{Base: client.Transport})
	return &Service{clock: c, http: &bounded}
}

// Handler returns the URL path of the service and its HTTP handler, which reads at most tune.MaxMessageBytes of a request.
func (s *Service) Handler() (string, http.Handler) {
	path, h := rpc.NewPeerHandler(s, connect.WithReadMaxBytes(tune.MaxMessageBytes),
		connect.WithCompression("gzip", newGzipReader, newGzipWriter), connect.WithCompressMinBytes(tune.MinCompressedBytes))
	h = http.MaxBytesHandler(h, tune.MaxMessageBytes)
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), arrivalKey{}, s.clock.Now())))
	})
}

// arrivalKey is the key of the time at which the head of a request had arrived, in the context of the request.
type arrivalKey struct{}

// Exchange passes a peer's digest to control and answers with this entry's facts and the changes that the peer lacks.
func (s *Service) Exchange(ctx context.Context, req *connect.Request[pb.Digest]) (*connect.Response[pb.Digest], error) {
	now := s.clock.Now()
	ev := event.Event{Kind: evkind.DigestReceived, Digest: s.decode(now, req.Msg)}
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		ev.Digest.Matched = ev.Digest.Matched.Older(clock.Elapsed(now, at))
	}
	e, err := s.Submit(ctx, ev)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	s.received(ctx, xkind.Of(ev.Digest), e.Remote)
	return connect.NewResponse(codec.DigestToProto(s.clock.Now(), e.Digest)), nil
}

// decode converts a digest that arrived at now, and counts invalid ages.
func (s *Service) decode(now time.Time, msg *pb.Digest) digest.Digest {
	d := codec.DigestFromProto(now, msg)
	if d.InvalidAge {
		s.InvalidAges.Add(1)
	}
	return d
}

// Credit answers a peer's request for credits of a cold upstream.
func (s *Service) Credit(ctx context.Context, req *connect.Request[pb.CreditRequest]) (*connect.Response[pb.CreditResponse], error) {
	m := req.Msg
	ev := event.Event{Kind: evkind.CreditsRequested, Demand: demand.Demand{
		From: m.GetFrom(), Upstream: m.GetUpstream(), Incarnation: m.GetBoot(), Want: int(m.GetWant()), Returned: m.GetBack(),
	}}
	e, err := s.Submit(ctx, ev)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	s.received(ctx, xkind.Credits, e.Remote)
	res := &pb.CreditResponse{Ttl: durationpb.New(e.TTL)}
	for _, c := range e.Credits {
		res.Grant = append(res.Grant, c.ID)
	}
	return connect.NewResponse(res), nil
}

// Status returns the state of this entry and what it has in force.
func (s *Service) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	s.received(ctx, xkind.Status, false)
	res, err := s.LocalStatus(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(res), nil
}

// received counts a request of a peer as of a kind.
func (s *Service) received(ctx context.Context, kind xkind.Kind, fromRemote bool) {
	if s.Meter != nil {
		s.Meter.Received(ctx, kind, fromRemote)
	}
}

// begin returns the context for a request to a peer that counts as of a kind.
func (s *Service) begin(ctx context.Context, kind xkind.Kind, toRemote bool) context.Context {
	if s.Meter == nil {
		return ctx
	}
	return s.Meter.Begin(ctx, kind, toRemote)
}

// client returns an RPC client for the peer at addr.
func (s *Service) client(addr netip.AddrPort) rpc.PeerClient {
	return rpc.NewPeerClient(s.http, "http://"+addr.String(), connect.WithReadMaxBytes(tune.MaxMessageBytes))
}

// SendDigest sends the digest of an effect to its peer and returns the answer; errors match ErrPeer.
//
// Both may hold the whole configuration, so the exchange may take tune.TransferTimeout while it makes progress. The age in the
// answer includes the time that the exchange took.
func (s *Service) SendDigest(ctx context.Context, e *effect.Effect) (digest.Digest, error) {
	call := &stall.Call{Clock: s.clock, Silence: tune.PeerTimeout, Total: tune.TransferTimeout}
	ctx = call.Begin(s.begin(ctx, xkind.Of(e.Digest), e.Remote))
	defer call.End()
	sent := s.clock.Now()
	res, err := s.client(e.Addr).Exchange(ctx, connect.NewRequest(codec.DigestToProto(s.clock.Now(), e.Digest)))
	if err != nil {
		return digest.Digest{}, eris.Wrapf(ErrPeer, "sending a digest to %s: %v", e.Addr, err)
	}
	now := s.clock.Now()
	answer := s.decode(now, res.Msg)
	answer.Matched = answer.Matched.Older(clock.Elapsed(now, sent))
	return answer, nil
}

// RequestCredits asks the peer of an effect for credits of a cold upstream; errors match ErrPeer.
//
// The lifetime of the credits counts from before the request was sent, so that none is used longer than it was granted.
func (s *Service) RequestCredits(ctx context.Context, e *effect.Effect) ([]credit.Credit, error) {
	ctx, cancel := context.WithTimeout(s.begin(ctx, xkind.Credits, e.Remote), tune.PeerTimeout)
	defer cancel()
	sent, d := s.clock.Now(), e.Demand
	res, err := s.client(e.Addr).Credit(ctx, connect.NewRequest(&pb.CreditRequest{
		From: d.From, Upstream: d.Upstream, Boot: d.Incarnation, Want: uint32(d.Want), Back: d.Returned,
	}))
	if err != nil {
		return nil, eris.Wrapf(ErrPeer, "requesting credits of upstream %q from %s: %v", d.Upstream, e.Addr, err)
	}
	until := sent.Add(min(res.Msg.GetTtl().AsDuration(), tune.CreditTTL))
	var credits []credit.Credit
	for _, id := range res.Msg.GetGrant() {
		credits = append(credits, credit.Credit{ID: id, Until: until})
	}
	return credits, nil
}

// FetchStatus asks an entry for its status; errors match ErrPeer.
func (s *Service) FetchStatus(ctx context.Context, addr netip.AddrPort) (*pb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(s.begin(ctx, xkind.Status, false), tune.PeerTimeout)
	defer cancel()
	res, err := s.client(addr).Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return nil, eris.Wrapf(ErrPeer, "requesting the status of %s: %v", addr, err)
	}
	return res.Msg, nil
}
