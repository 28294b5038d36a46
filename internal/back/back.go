package back

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

	"github.com/balsamvale/balsamvale/internal/dialct"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Back holds the connections to upstreams; it is safe for concurrent use.
type Back struct {
	clock   clock.Clock
	dialect *dialct.Dialect
	pooled  *http.Transport
	// fresh opens a connection for each attempt.
	fresh *http.Transport
}

// idlePerHost bounds the idle connections to one upstream.
const idlePerHost = 32

// New returns a back without connections.
func New(c clock.Clock, d *dialct.Dialect) *Back {
	b := &Back{clock: c, dialect: d}
	b.pooled = b.transport()
	b.fresh = b.transport()
	b.fresh.DisableKeepAlives = true
	return b
}

func (b *Back) transport() *http.Transport {
	return &http.Transport{
		DialContext:           b.dial,
		MaxIdleConnsPerHost:   idlePerHost,
		IdleConnTimeout:       tune.ConnIdleTimeout,
		DisableCompression:    true,
		ExpectContinueTimeout: time.Second,
	}
}

// dial opens a connection whose use is followed.
func (b *Back) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: tune.DialTimeout}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return newConn(c, b.clock), nil
}

// trip follows one attempt through the transport.
type trip struct {
	back  *Back
	req   *outreq.Request
	conn  atomic.Pointer[conn]
	start int64
	stale bool
}

// Send makes an attempt and returns the head of the answer, or nil with the reason in the result.
//
// The caller closes the answer's body, and ends the context to give the attempt up.
func (b *Back) Send(ctx context.Context, r *outreq.Request) (*http.Response, result.Result) {
	tr := b.pooled
	if !r.Repeat && !r.Buffered {
		tr = b.fresh
	}
	res, out, stale := b.try(ctx, tr, r)
	if stale && out.Cause == cause.Unsent && ctx.Err() == nil {
		res, out, _ = b.try(ctx, b.fresh, r)
	}
	return res, out
}

// Probe asks an upstream for its load; path is where it tells.
func (b *Back) Probe(ctx context.Context, name string, addr netip.AddrPort, path string) result.Result {
	ctx, cancel := context.WithTimeout(ctx, tune.ProbeTimeout)
	defer cancel()
	t := &trip{back: b, req: &outreq.Request{Repeat: true}}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	req, err := http.NewRequestWithContext(traced, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return result.Result{Cause: cause.Unsent}
	}
	req.Header.Set("User-Agent", "")
	res, err := b.pooled.RoundTrip(req)
	if err != nil {
		return result.Result{Cause: t.failure(ctx)}
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, probeBody)); err != nil {
		return result.Result{Cause: cause.ConnBroken}
	}
	return b.dialect.Probe(res, name)
}

// probeBody bounds the body of a probe's answer in bytes.
const probeBody = 4 << 10

// try makes an attempt over one transport, and reports whether a stale connection stopped it.
func (b *Back) try(ctx context.Context, rt *http.Transport, r *outreq.Request) (*http.Response, result.Result, bool) {
	t := &trip{back: b, req: r}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        t.gotConn,
		Got1xxResponse: t.early,
	})
	req := b.request(ctx, r)
	res, err := rt.RoundTrip(req)
	took := b.clock.Now().Sub(r.Sent)
	if err != nil {
		return nil, result.Result{Cause: t.failure(ctx), Latency: took}, t.stale
	}
	out := b.dialect.Judge(res, r.ID)
	out.Latency = took
	out.ConnClose = res.Close && rt == b.pooled
	if out.Cause == cause.AttemptMismatch {
		_ = res.Body.Close()
		return nil, out, false
	}
	return res, out, false
}

// request builds the outgoing request.
func (b *Back) request(ctx context.Context, r *outreq.Request) *http.Request {
	u := &url.URL{Scheme: "http", Host: r.Addr.String()}
	req := &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: r.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if parsed, err := url.ParseRequestURI(r.Target); err == nil {
		u.Path, u.RawPath, u.RawQuery = parsed.Path, parsed.RawPath, parsed.RawQuery
	}
	// net/http repeats requests that carry this header by its usual name; the other
	// spelling means the same to the upstream and keeps repeats to this package.
	if key, ok := req.Header[wire.Key]; ok {
		delete(req.Header, wire.Key)
		req.Header["idempotency-key"] = key
	}
	switch {
	case r.Buffered && len(r.Body) == 0 && !replayed(r.Method):
		req.Body = http.NoBody
	case r.Buffered:
		req.ContentLength = int64(len(r.Body))
		if r.Chunked {
			req.ContentLength = -1
		}
		req.Body = &once{Reader: bytes.NewReader(r.Body)}
	default:
		req.ContentLength = r.Length
		req.Body = r.Stream
		req.Trailer = r.Trailer
	}
	return req.WithContext(ctx)
}

// replayed reports whether net/http by itself repeats requests of a method that have no body.
func replayed(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// once is a body that net/http cannot send twice, so that it never repeats a request by itself.
type once struct{ io.Reader }

func (*once) Close() error { return nil }

// gotConn refuses a connection that was not proven live lately to a call that must not repeat.
func (t *trip) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	t.conn.Store(c)
	t.start = c.written.Load()
	if info.Reused && !t.req.Repeat && c.quiet() > tune.ConnProvenAge {
		t.stale = true
		_ = c.Close()
	}
}

func (t *trip) early(code int, h textproto.MIMEHeader) error {
	if t.req.Early != nil && code != http.StatusContinue {
		t.req.Early(code, http.Header(h))
	}
	return nil
}

// undialed says why an attempt got no connection.
func (t *trip) undialed(ctx context.Context) cause.Cause {
	if ctx.Err() != nil {
		return cause.Unsent
	}
	return cause.DialFailed
}

// failure says how an attempt without an answer ended.
func (t *trip) failure(ctx context.Context) cause.Cause {
	c := t.conn.Load()
	if c == nil {
		return t.undialed(ctx)
	}
	if c.written.Load() == t.start {
		return cause.Unsent
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return cause.Timeout
	case ctx.Err() != nil, t.req.Failed != nil && t.req.Failed():
		return cause.Canceled
	}
	return cause.ConnBroken
}
