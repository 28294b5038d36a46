package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/flow"
)

// bufferResponse reads a response of up to tune.MaxBufferedResponse bytes in full, so that a response that breaks off can
// still be replaced. A longer one, or one of an attempt with trailers in either direction, is left to be streamed.
func (a *attempt) bufferResponse() {
	if a.res.ContentLength > tune.MaxBufferedResponse || a.req.Trailer != nil || len(a.res.Trailer) > 0 {
		return
	}
	body, err := io.ReadAll(io.LimitReader(a.res.Body, tune.MaxBufferedResponse+1))
	if err != nil {
		_ = a.res.Body.Close()
		a.res, a.result.Cause = nil, cause.ConnBroken
		return
	}
	if len(body) > tune.MaxBufferedResponse {
		a.res.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), a.res.Body), Closer: a.res.Body}
		return
	}
	_ = a.res.Body.Close()
	a.res.Body = io.NopCloser(bytes.NewReader(body))
}

// prefixedBody is a body whose first part has already been read: Reader returns that part again, then the rest.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// readBodyUntil is readBody with a limit on the time; the zero time means none. The error is then os.ErrDeadlineExceeded.
func (d *callDriver) readBodyUntil(limit time.Time) error {
	if d.r.ContentLength == 0 || limit.IsZero() {
		return d.readBody()
	}
	rc := http.NewResponseController(d.w)
	// If setting a deadline fails, the connection is closed, which ends the read too.
	_ = rc.SetReadDeadline(limit)
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	return d.readBody()
}

// readBody reads a request body of up to tune.MaxReplayBody bytes, so that it can be sent more than once. A larger one, or
// one of unknown length with trailers, is left to be streamed.
func (d *callDriver) readBody() error {
	if d.r.ContentLength < 0 && len(d.r.Trailer) == 0 {
		return d.readUnknownLength()
	}
	if d.r.ContentLength < 0 || d.r.ContentLength > tune.MaxReplayBody {
		d.stream = &stream{ReadCloser: http.MaxBytesReader(d.w, d.r.Body, d.handler.bodyLimit())}
		// HTTP/2 is always full duplex and does not need this call.
		_ = http.NewResponseController(d.w).EnableFullDuplex()
		return nil
	}
	d.buffered = true
	if d.r.ContentLength == 0 {
		return nil
	}
	d.body = make([]byte, d.r.ContentLength)
	_, err := io.ReadFull(d.r.Body, d.body)
	return err
}

// readUnknownLength reads a body of unknown length if it has up to tune.MaxReplayBody bytes, and leaves the rest of a larger
// one to be streamed.
func (d *callDriver) readUnknownLength() error {
	limited := http.MaxBytesReader(d.w, d.r.Body, d.handler.bodyLimit())
	body, err := io.ReadAll(io.LimitReader(limited, tune.MaxReplayBody+1))
	if err != nil {
		return err
	}
	if len(body) <= tune.MaxReplayBody {
		d.body, d.buffered, d.chunked = body, true, true
		return nil
	}
	d.stream = &stream{ReadCloser: &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), limited), Closer: limited}}
	_ = http.NewResponseController(d.w).EnableFullDuplex()
	return nil
}

// refuseBadBody answers a request whose body could not be read: with status 413 if it exceeds the limit, 408 if it did not
// arrive in time, otherwise 400.
func (d *callDriver) refuseBadBody(err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && len(d.attempts) == 0 {
		status = http.StatusRequestTimeout
	}
	outcome := flow.OutcomeBeforeClaim(d.handler.Headers.IdempotencyKey(d.r.Header) != "")
	if len(d.attempts) > 0 {
		outcome = outcom.Unknown
	}
	d.handler.Headers.SetOutcome(d.w.Header(), outcome, reason.None)
	d.w.Header().Set("Connection", "close")
	http.Error(d.w, "the request body cannot be read", status)
}

// stopBody stops a streamed request body and waits for a read in progress, since net/http takes the body back when the
// handler returns.
func (d *callDriver) stopBody() {
	if d.stream == nil {
		return
	}
	rc := http.NewResponseController(d.w)
	d.stream.stop(func() {
		// If setting the deadline fails, the connection is already closed, which ends the read too.
		_ = rc.SetReadDeadline(d.now())
	})
}

// closeUnlessBodyRead makes the connection close after the response if the request body has not been read to its end, as
// the rest of the body would be read as the next request. It must be called before the header is written.
func (d *callDriver) closeUnlessBodyRead() {
	if d.stream != nil && !d.stream.complete() {
		d.w.Header().Set("Connection", "close")
	}
}
