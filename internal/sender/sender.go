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
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/wire"
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
}

const (
	// maxIdlePerHost is the maximum number of idle connections kept to one upstream.
	maxIdlePerHost = 32
	// maxHeadBytes is the maximum size of the head of a response in bytes.
	maxHeadBytes = 64 << 10
	// maxInformational is the maximum number of 1xx responses to one attempt.
	maxInformational = 16
)

// errTooManyInformational is the error of an attempt with more than maxInformational 1xx responses.
var errTooManyInformational = eris.New("too many informational responses")

// New returns a Sender without connections. The Codec classifies the responses to attempts and probes.
func New(c clock.Clock, headers *header.Codec) *Sender {
	s := &Sender{clock: c, headers: headers}
	s.pooled = s.newTransport()
	s.unpooled = s.newTransport()
	s.unpooled.DisableKeepAlives = true
	return s
}

func (s *Sender) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         s.dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     tune.ConnIdleTimeout,
		DisableCompression:  true,
		// Without this, net/http reads 10 MiB of a head that does not end.
		MaxResponseHeaderBytes: maxHeadBytes,
		ExpectContinueTimeout:  time.Second,
	}
}

// dial opens a connection and wraps it in a conn, which records its use.
func (s *Sender) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: tune.DialTimeout}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return newConn(c, s.clock), nil
}

// attemptTrace collects what the httptrace hooks report about one attempt or probe.
type attemptTrace struct {
	sender *Sender
	req    *outreq.Request
	// conn is the connection that the attempt was given; nil before that.
	conn atomic.Pointer[conn]
	// writesAtStart is the number of writes on conn before the attempt.
	writesAtStart int64
	// reused is set if conn has been used before, and outOfStep if it was known to be out of step then. net/http may hand such
	// a connection out until it notices that it is closed, and then reads a response that was buffered before.
	reused    bool
	outOfStep bool
	// informational counts the 1xx responses.
	informational int
}

// Send makes an attempt and returns the head of the response. If there is none, the response is nil and the cause is in
// the result.
//
// A streamed call that is not idempotent always gets a new connection. Other calls use pooled connections; an attempt that
// sent nothing of a buffered body because its pooled connection was stale or had just closed is repeated at once on a new one.
//
// The caller must close the response body, and cancels ctx to abandon the attempt.
func (s *Sender) Send(ctx context.Context, r *outreq.Request) (*http.Response, result.Result) {
	tr := s.pooled
	if !r.Idempotent && !r.Buffered {
		tr = s.unpooled
	}
	res, out, reused := s.roundTrip(ctx, tr, r)
	if reused && r.Buffered && out.Cause == cause.Unsent && ctx.Err() == nil {
		res, out, _ = s.roundTrip(ctx, s.unpooled, r)
	}
	return res, out
}

// Probe requests the load report of the named upstream from addr; path is the URL path of the report. It gives up after
// tune.ProbeTimeout.
func (s *Sender) Probe(ctx context.Context, name string, addr netip.AddrPort, path string) result.Result {
	ctx, cancel := context.WithTimeout(ctx, tune.ProbeTimeout)
	defer cancel()
	t := &attemptTrace{sender: s, req: &outreq.Request{Idempotent: true}}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	req, err := http.NewRequestWithContext(traced, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return result.Result{Cause: cause.Unsent}
	}
	// An empty value keeps net/http from adding its own.
	req.Header.Set("User-Agent", "")
	res, err := s.pooled.RoundTrip(req)
	if err != nil {
		return result.Result{Cause: t.failureCause(ctx)}
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxProbeBody)); err != nil {
		return result.Result{Cause: cause.ConnBroken}
	}
	return s.headers.ClassifyProbe(res, name)
}

// maxProbeBody is the maximum number of bytes that are read of the body of a probe response.
const maxProbeBody = 4 << 10

// roundTrip makes an attempt over the transport rt. The last result is true if it failed on a connection used before.
func (s *Sender) roundTrip(ctx context.Context, rt *http.Transport, r *outreq.Request) (*http.Response, result.Result, bool) {
	t := &attemptTrace{sender: s, req: r}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        t.gotConn,
		Got1xxResponse: t.got1xx,
	})
	req := s.newRequest(ctx, r)
	res, err := rt.RoundTrip(req)
	latency := s.clock.Now().Sub(r.SentAt)
	if err == nil && t.outOfStep {
		_ = res.Body.Close()
		return nil, result.Result{Cause: t.failureCause(ctx), Latency: latency}, t.reused
	}
	if err != nil {
		return nil, result.Result{Cause: t.failureCause(ctx), Latency: latency}, t.reused
	}
	out := s.headers.ClassifyResponse(res, r.ID)
	if mergedStatusLines(res) {
		out = result.Result{Status: res.StatusCode, Cause: cause.AttemptMismatch}
	}
	out.Latency = latency
	out.ConnClose = res.Close && rt == s.pooled
	if out.Cause == cause.AttemptMismatch {
		_ = res.Body.Close()
		t.closeConn()
		return nil, out, false
	}
	return res, out, false
}

// mergedStatusLines reports whether a part of a status line came before the one of the response, so that the status may be
// that of another response.
func mergedStatusLines(res *http.Response) bool { return strings.Contains(res.Status, "HTTP/") }

// newRequest builds the outgoing HTTP request of an attempt, so that net/http never sends it twice by itself.
func (s *Sender) newRequest(ctx context.Context, r *outreq.Request) *http.Request {
	u := &url.URL{Scheme: "http", Host: r.Addr.String()}
	req := &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: r.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if parsed, err := url.ParseRequestURI(r.RequestURI); err == nil {
		u.Path, u.RawPath, u.RawQuery = parsed.Path, parsed.RawPath, parsed.RawQuery
	}
	// net/http retries requests by itself if they have this header under its canonical name. The lower-case name means
	// the same to the upstream and leaves retries to this package.
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

// netHTTPRetries reports whether net/http by itself retries requests with the given method that have no body.
func netHTTPRetries(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// singleUseBody is a request body that net/http cannot send twice, so that it never retries the request by itself.
type singleUseBody struct{ io.Reader }

func (*singleUseBody) Close() error { return nil }

// gotConn is the GotConn hook: it records the connection of the attempt. If the call is not idempotent, it closes a reused
// connection that has read nothing for longer than tune.ConnProvenAge and so is not proven live.
func (t *attemptTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	t.conn.Store(c)
	t.writesAtStart, t.reused, t.outOfStep = c.writes.Load(), info.Reused, c.outOfStep.Load()
	if info.Reused && !t.req.Idempotent && c.sinceRead() > tune.ConnProvenAge {
		_ = c.Close()
	}
}

// got1xx is the Got1xxResponse hook: it passes informational responses on, except 100 Continue. With this hook, net/http sets
// no limit on their number.
func (t *attemptTrace) got1xx(code int, h textproto.MIMEHeader) error {
	t.informational++
	if t.informational > maxInformational {
		return errTooManyInformational
	}
	if t.req.OnInformational != nil && code != http.StatusContinue {
		t.req.OnInformational(code, http.Header(h))
	}
	return nil
}

// closeConn closes the connection of the attempt. After a response to another attempt, all further responses on it would be
// out of step.
func (t *attemptTrace) closeConn() {
	if c := t.conn.Load(); c != nil {
		c.outOfStep.Store(true)
		_ = c.Close()
	}
}

// dialCause returns the cause of an attempt that got no connection.
func (t *attemptTrace) dialCause(ctx context.Context) cause.Cause {
	if ctx.Err() != nil {
		return cause.Unsent
	}
	return cause.DialFailed
}

// failureCause returns the cause of an attempt that got no response.
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
