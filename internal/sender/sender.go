package sender

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Sender holds the connections to upstreams; it is safe for concurrent use.
type Sender struct {
	clock   clock.Clock
	headers *header.Codec
	pooled  *http.Transport
	// unpooled opens a connection for each attempt.
	unpooled *http.Transport
}

// idlePerHost bounds the idle connections to one upstream.
const idlePerHost = 32

// New returns a back without connections.
func New(c clock.Clock, d *header.Codec) *Sender {
	b := &Sender{clock: c, headers: d}
	b.pooled = b.newTransport()
	b.unpooled = b.newTransport()
	b.unpooled.DisableKeepAlives = true
	return b
}

func (b *Sender) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:           b.dial,
		MaxIdleConnsPerHost:   idlePerHost,
		IdleConnTimeout:       tune.ConnIdleTimeout,
		DisableCompression:    true,
		ExpectContinueTimeout: time.Second,
	}
}

// dial opens a connection whose use is followed.
func (b *Sender) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: tune.DialTimeout}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return newConn(c, b.clock), nil
}

// attemptTrace follows one attempt through the transport.
type attemptTrace struct {
	sender        *Sender
	req           *outreq.Request
	conn          atomic.Pointer[conn]
	writesAtStart int64
	stale         bool
}

// Send makes an attempt and returns the head of the answer, or nil with the reason in the result.
//
// The caller closes the answer's body, and ends the context to give the attempt up.
func (b *Sender) Send(ctx context.Context, r *outreq.Request) (*http.Response, result.Result) {
	tr := b.pooled
	if !r.Idempotent && !r.Buffered {
		tr = b.unpooled
	}
	res, out, stale := b.roundTrip(ctx, tr, r)
	if stale && out.Cause == cause.Unsent && ctx.Err() == nil {
		res, out, _ = b.roundTrip(ctx, b.unpooled, r)
	}
	return res, out
}

// Probe asks an upstream for its load; path is where it tells.
func (b *Sender) Probe(ctx context.Context, name string, addr netip.AddrPort, path string) result.Result {
	ctx, cancel := context.WithTimeout(ctx, tune.ProbeTimeout)
	defer cancel()
	t := &attemptTrace{sender: b, req: &outreq.Request{Idempotent: true}}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	req, err := http.NewRequestWithContext(traced, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return result.Result{Cause: cause.Unsent}
	}
	req.Header.Set("User-Agent", "")
	res, err := b.pooled.RoundTrip(req)
	if err != nil {
		return result.Result{Cause: t.failureCause(ctx)}
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxProbeBody)); err != nil {
		return result.Result{Cause: cause.ConnBroken}
	}
	return b.headers.ClassifyProbe(res, name)
}

// maxProbeBody bounds the body of a probe's answer in bytes.
const maxProbeBody = 4 << 10

// roundTrip makes an attempt over one transport, and reports whether a stale connection stopped it.
func (b *Sender) roundTrip(ctx context.Context, rt *http.Transport, r *outreq.Request) (*http.Response, result.Result, bool) {
	t := &attemptTrace{sender: b, req: r}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        t.gotConn,
		Got1xxResponse: t.got1xx,
	})
	req := b.newRequest(ctx, r)
	res, err := rt.RoundTrip(req)
	took := b.clock.Now().Sub(r.SentAt)
	if err != nil {
		return nil, result.Result{Cause: t.failureCause(ctx), Latency: took}, t.stale
	}
	out := b.headers.ClassifyResponse(res, r.ID)
	out.Latency = took
	out.ConnClose = res.Close && rt == b.pooled
	if out.Cause == cause.AttemptMismatch {
		_ = res.Body.Close()
		return nil, out, false
	}
	return res, out, false
}

// newRequest builds the outgoing request.
func (b *Sender) newRequest(ctx context.Context, r *outreq.Request) *http.Request {
	u := &url.URL{Scheme: "http", Host: r.Addr.String()}
	req := &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: r.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if parsed, err := url.ParseRequestURI(r.RequestURI); err == nil {
		u.Path, u.RawPath, u.RawQuery = parsed.Path, parsed.RawPath, parsed.RawQuery
	}
	// net/http repeats requests that carry this header by its usual name; the other
	// spelling means the same to the upstream and keeps repeats to this package.
	if key, ok := req.Header[wire.IdempotencyKey]; ok {
		delete(req.Header, wire.IdempotencyKey)
		req.Header["idempotency-key"] = key
	}
	switch {
	case r.Buffered && len(r.Body) == 0 && !netHTTPRetries(r.Method):
		req.Body = http.NoBody
	case r.Buffered:
		req.ContentLength = int64(len(r.Body))
		if r.Chunked {
			req.ContentLength = -1
		}
		req.Body = &singleUseBody{Reader: bytes.NewReader(r.Body)}
	default:
		req.ContentLength = r.StreamLength
		req.Body = r.Stream
		req.Trailer = r.Trailer
	}
	return req.WithContext(ctx)
}

// netHTTPRetries reports whether net/http by itself repeats requests of a method that have no body.
func netHTTPRetries(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// singleUseBody is a body that net/http cannot send twice, so that it never repeats a request by itself.
type singleUseBody struct{ io.Reader }

func (*singleUseBody) Close() error { return nil }

// gotConn refuses a connection that was not proven live lately to a call that must not repeat.
func (t *attemptTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	t.conn.Store(c)
	t.writesAtStart = c.writes.Load()
	if info.Reused && !t.req.Idempotent && c.sinceRead() > tune.ConnProvenAge {
		t.stale = true
		_ = c.Close()
	}
}

func (t *attemptTrace) got1xx(code int, h textproto.MIMEHeader) error {
	if t.req.OnInformational != nil && code != http.StatusContinue {
		t.req.OnInformational(code, http.Header(h))
	}
	return nil
}

// dialCause says why an attempt got no connection.
func (t *attemptTrace) dialCause(ctx context.Context) cause.Cause {
	if ctx.Err() != nil {
		return cause.Unsent
	}
	return cause.DialFailed
}

// failureCause says how an attempt without an answer ended.
func (t *attemptTrace) failureCause(ctx context.Context) cause.Cause {
	c := t.conn.Load()
	if c == nil {
		return t.dialCause(ctx)
	}
	if c.writes.Load() == t.writesAtStart {
		return cause.Unsent
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return cause.Timeout
	case ctx.Err() != nil, t.req.BodyFailed != nil && t.req.BodyFailed():
		return cause.Canceled
	}
	return cause.ConnBroken
}
