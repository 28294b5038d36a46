package sender

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/intact"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/resets"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Sender sends attempts and probes to upstreams and pools the connections to them. It is safe for concurrent use.
type Sender struct {
	clock   clock.Clock
	headers *header.Codec
	// pooled reuses idle connections.
	pooled *http.Transport
	// unpooled opens a new connection for each attempt.
	unpooled *http.Transport
	// streamed is unpooled for attempts whose body still comes from the caller: a body with an expectation waits for the upstream.
	streamed *http.Transport
}

const (
	// maxIdlePerHost is the maximum number of idle connections kept to one upstream.
	maxIdlePerHost = 32
	// maxHeadBytes is the maximum size of the head of a response in bytes.
	maxHeadBytes = 64 << 10
)

// New returns a Sender without connections. The Codec classifies the responses to attempts and probes.
func New(c clock.Clock, headers *header.Codec) *Sender {
	s := &Sender{clock: c, headers: headers}
	s.pooled = s.newTransport()
	s.unpooled = s.newTransport()
	s.unpooled.DisableKeepAlives = true
	s.streamed = s.newTransport()
	s.streamed.DisableKeepAlives = true
	s.streamed.ExpectContinueTimeout = time.Second
	return s
}

func (s *Sender) newTransport() *http.Transport {
	http1 := new(http.Protocols)
	http1.SetHTTP1(true)
	return &http.Transport{
		DialContext:         s.dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     tune.ConnIdleTimeout,
		DisableCompression:  true,
		Protocols:           http1,
		// Without this, net/http reads 10 MiB of a head that does not end.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// dial opens a connection and wraps it in a conn, which records its use.
func (s *Sender) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := resets.DialContext(&net.Dialer{Timeout: tune.DialTimeout})(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return newConn(c, s.clock), nil
}

// Send makes an attempt and returns the head of the response. If there is none, the response is nil and the cause is in
// the result.
//
// A streamed call that is not idempotent always gets a new connection. Other calls use pooled connections; an attempt that
// sent nothing of a buffered call because its pooled connection was stale or had just closed is made at once on another one:
// on a new one that is not kept if it has a body, otherwise on the next one of the pool.
//
// The caller must close the response body, and cancels ctx to abandon the attempt.
func (s *Sender) Send(ctx context.Context, r *outreq.Request) (*http.Response, result.Result) {
	tr := s.pooled
	if !r.Idempotent && !r.Buffered {
		tr = s.streamed
	}
	for range maxIdlePerHost {
		res, out, reused := s.roundTrip(ctx, tr, r)
		if !reused || !r.Buffered || out.Cause != cause.Unsent || ctx.Err() != nil {
			return res, out
		}
		if len(r.Body) > 0 {
			break
		}
	}
	res, out, _ := s.roundTrip(ctx, s.unpooled, r)
	return res, out
}

// CloseIdle closes the connections that no attempt uses.
func (s *Sender) CloseIdle() { s.pooled.CloseIdleConnections() }

// Probe requests the load report of the named upstream from addr; path is the URL path of the report. It gives up after
// tune.ProbeTimeout.
func (s *Sender) Probe(ctx context.Context, name string, addr netip.AddrPort, path string) result.Result {
	ctx, cancel := context.WithTimeout(ctx, tune.ProbeTimeout)
	defer cancel()
	if _, err := url.ParseRequestURI(path); err != nil {
		return result.Result{Cause: cause.Unsent}
	}
	e := newExchange(ctx, &outreq.Request{Method: http.MethodGet, RequestURI: path, Header: http.Header{}, Buffered: true, Idempotent: true, Addr: addr})
	res, err := e.roundTrip(s.pooled)
	if err != nil {
		return e.failure()
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxProbeBody)); err != nil {
		return result.Result{Cause: intact.BodyCause(err)}
	}
	return s.headers.ClassifyProbe(res, name)
}

// maxProbeBody is the maximum number of bytes that are read of the body of a probe response.
const maxProbeBody = 4 << 10

// roundTrip makes an attempt over the transport rt. The last result is true if it failed on a connection used before.
func (s *Sender) roundTrip(ctx context.Context, rt *http.Transport, r *outreq.Request) (*http.Response, result.Result, bool) {
	e := newExchange(ctx, r)
	res, err := e.roundTrip(rt)
	latency := s.clock.Now().Sub(r.SentAt)
	if err != nil {
		out := e.failure()
		out.Latency = latency
		return nil, out, e.reused
	}
	out := s.headers.ClassifyResponse(res, r.ID)
	out.Latency = latency
	out.ConnClose = res.Close && rt == s.pooled
	if out.Cause == cause.AttemptMismatch {
		_ = res.Body.Close()
		e.closeConn()
		return nil, out, false
	}
	return res, out, false
}
