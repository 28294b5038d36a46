package sender

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/intact"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// exchange is one attempt or probe over net/http; it builds the request and follows its connection.
//
// The rule for everything that is sent to upstreams: net/http frames messages and pools connections, and decides nothing about
// a call. An exchange writes to the one connection that it was given first. If net/http asks for another, to send the request
// again, that one is closed before anything is written to it, whatever the method, body and headers of the request are;
// and as the context of the request ends with the connection, net/http normally does not get so far. What remains is shut
// off in the same way for all requests: RoundTrip follows no redirect and keeps no cookie, the transports have no proxy, no
// compression and no HTTP/2, a switch of protocols is a failure, and no header is added.
type exchange struct {
	// ctx is the context of the attempt; its end is not the end of the connection.
	ctx context.Context
	req *outreq.Request
	// cancel ends the context that net/http sees, so that it gives the request up.
	cancel context.CancelCauseFunc
	// conn is the connection that the exchange was given; nil before that.
	conn atomic.Pointer[conn]
	// writesAtStart is the number of writes on conn before the exchange.
	writesAtStart int64
	// reused is set if conn has been used before, and outOfStep if it was known to be out of step then. net/http may hand such
	// a connection out until it notices that it is closed, and then reads a response that was buffered before.
	reused    bool
	outOfStep bool
	// informational counts the 1xx responses.
	informational int
	// refused is the result of a response that is no answer to any request; nil if there was none. net/http calls got1xx in a goroutine
	// that may outlast roundTrip.
	refused atomic.Pointer[result.Result]
}

var (
	// errConnLost is the error of an exchange whose connection ended before the first byte of a response.
	errConnLost = eris.New("connection lost before a response")
	// errOutOfStep is the error of an exchange on a connection that has carried a response to another one.
	errOutOfStep = eris.New("connection out of step")
	// errNoAnswer is the error of an exchange whose response is no answer to any request.
	errNoAnswer = eris.New("response is no answer")
	// errProtocolSwitch is the error of a 101 response: no upgrade is ever asked for.
	errProtocolSwitch = eris.New("unexpected switch of protocols")
	// errTooManyInformational is the error of an exchange with more than intact.MaxInformational 1xx responses.
	errTooManyInformational = eris.New("too many informational responses")
)

func newExchange(ctx context.Context, r *outreq.Request) *exchange {
	return &exchange{ctx: ctx, req: r}
}

// roundTrip sends the request over the transport rt and returns the head of the response.
func (e *exchange) roundTrip(rt *http.Transport) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(e.ctx)
	e.cancel = cancel
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.gotConn, Got1xxResponse: e.got1xx})
	res, err := rt.RoundTrip(e.newRequest(ctx))
	if err == nil && e.outOfStep {
		err = errOutOfStep
	}
	if err == nil && res.StatusCode == http.StatusSwitchingProtocols {
		err = errProtocolSwitch
	}
	if err == nil {
		err = e.refuse(res.StatusCode, noAnswer(res))
	}
	if err == nil {
		res.Body = intact.NewBody(res, e.closeConn)
		return res, nil
	}
	if res != nil {
		_ = res.Body.Close()
	}
	cancel(err)
	return nil, err
}

// newRequest builds the request for net/http. It has no GetBody, and an empty body is nil, which net/http frames as the method
// demands.
func (e *exchange) newRequest(ctx context.Context) *http.Request {
	r := e.req
	u := &url.URL{Scheme: "http", Host: r.Addr.String()}
	req := &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: r.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	switch parsed, err := url.ParseRequestURI(r.RequestURI); {
	case err != nil:
	case strings.HasPrefix(r.RequestURI, "//"):
		// As Opaque, it would be the start of an absolute URI.
		u.Path, u.RawPath, u.RawQuery, u.ForceQuery = parsed.Path, parsed.RawPath, parsed.RawQuery, parsed.ForceQuery
	default:
		// Opaque is written as it is.
		u.Opaque = r.RequestURI
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		req.Header["User-Agent"] = []string{""}
	}
	switch {
	case !r.Buffered:
		req.ContentLength = r.StreamLength
		req.Body = r.Stream
		req.Trailer = r.Trailer
	case len(r.Body) > 0:
		req.ContentLength = int64(len(r.Body))
		if r.Chunked {
			req.ContentLength = -1
		}
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return req.WithContext(ctx)
}

// gotConn is the GotConn hook: it records the connection of the exchange, and closes any further one. If the call is not
// idempotent, it closes a reused connection that has read nothing for longer than tune.ConnProvenAge and so is not proven live.
func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	if e.conn.Load() != nil {
		_ = c.Close()
		e.cancel(errConnLost)
		return
	}
	e.conn.Store(c)
	e.writesAtStart, e.reused, e.outOfStep = c.writes.Load(), info.Reused, c.outOfStep.Load()
	c.await(e)
	if info.Reused && !e.req.Idempotent && c.sinceRead() > tune.ConnProvenAge {
		_ = c.Close()
		e.cancel(errConnLost)
	}
}

// got1xx is the Got1xxResponse hook: it passes informational responses on, except 100 Continue. With this hook, net/http sets
// no limit on their number.
func (e *exchange) got1xx(code int, h textproto.MIMEHeader) error {
	if intact.CheckFields(http.Header(h)) != nil {
		return e.refuse(code, cause.Invalid)
	}
	e.informational++
	if e.informational > intact.MaxInformational {
		return errTooManyInformational
	}
	if e.req.OnInformational != nil && code != http.StatusContinue {
		e.req.OnInformational(code, http.Header(h))
	}
	return nil
}

// refuse records that a response with the given status is no answer to any request, and why, and closes the connection. The error is
// errNoAnswer, or nil if why is cause.None.
func (e *exchange) refuse(status int, why cause.Cause) error {
	if why == cause.None {
		return nil
	}
	e.refused.Store(&result.Result{Status: status, Cause: why})
	e.closeConn()
	return errNoAnswer
}

// closeConn closes the connection of the exchange. After a response to another attempt, all further responses on it would be
// out of step.
func (e *exchange) closeConn() {
	if c := e.conn.Load(); c != nil {
		c.outOfStep.Store(true)
		_ = c.Close()
	}
}

// dialCause returns the cause of an exchange that got no connection.
func (e *exchange) dialCause() cause.Cause {
	if e.ctx.Err() != nil {
		return cause.Unsent
	}
	return cause.DialFailed
}

// failure returns the result of an exchange that failed.
func (e *exchange) failure() result.Result {
	if refused := e.refused.Load(); refused != nil {
		return *refused
	}
	return result.Result{Cause: e.failureCause()}
}

// failureCause returns the cause of an exchange that got no response.
func (e *exchange) failureCause() cause.Cause {
	c := e.conn.Load()
	if c == nil {
		return e.dialCause()
	}
	if c.writes.Load() == e.writesAtStart {
		return cause.Unsent
	}
	switch {
	case errors.Is(e.ctx.Err(), context.DeadlineExceeded):
		return cause.Timeout
	case e.ctx.Err() != nil, e.req.BodyFailed != nil && e.req.BodyFailed():
		return cause.Canceled
	}
	return cause.ConnBroken
}
