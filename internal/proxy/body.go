package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/flow"
)

// bufferResponse reads a small answer as a whole, so that one that breaks off can still be replaced.
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
	a.fullBody = body
	_ = a.res.Body.Close()
	a.res.Body = io.NopCloser(bytes.NewReader(body))
}

// prefixedBody is a body of which a part has been read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// readBody keeps a small body for further attempts and leaves a large one to be streamed.
func (e *callDriver) readBody() error {
	if e.r.ContentLength < 0 && len(e.r.Trailer) == 0 {
		return e.readUnknownLength()
	}
	if e.r.ContentLength < 0 || e.r.ContentLength > tune.MaxReplayBody {
		e.stream = &stream{ReadCloser: http.MaxBytesReader(e.w, e.r.Body, e.handler.bodyLimit())}
		// HTTP/2 is full duplex anyway and says that it does not need this.
		_ = http.NewResponseController(e.w).EnableFullDuplex()
		return nil
	}
	e.buffered = true
	if e.r.ContentLength == 0 {
		return nil
	}
	e.body = make([]byte, e.r.ContentLength)
	_, err := io.ReadFull(e.r.Body, e.body)
	return err
}

// readUnknownLength keeps a small body of unknown length, and leaves the rest of a larger one to be streamed.
func (e *callDriver) readUnknownLength() error {
	all := http.MaxBytesReader(e.w, e.r.Body, e.handler.bodyLimit())
	body, err := io.ReadAll(io.LimitReader(all, tune.MaxReplayBody+1))
	if err != nil {
		return err
	}
	if len(body) <= tune.MaxReplayBody {
		e.body, e.buffered, e.chunked = body, true, true
		return nil
	}
	e.stream = &stream{ReadCloser: &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), all), Closer: all}}
	_ = http.NewResponseController(e.w).EnableFullDuplex()
	return nil
}

func (e *callDriver) refuseBadBody(err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	ft := flow.OutcomeBeforeClaim(e.r.Header.Get(wire.IdempotencyKey) != "")
	if len(e.attempts) > 0 {
		ft = outcom.Unknown
	}
	e.w.Header().Set(wire.Outcome, ft.String())
	http.Error(e.w, "the request body cannot be read", status)
}

// stopBody waits until nobody reads the request body, which net/http takes back when the handler returns.
//
// After a body that was not read to its end, the connection cannot be used again.
func (e *callDriver) stopBody() {
	if e.stream == nil {
		return
	}
	rc := http.NewResponseController(e.w)
	whole := e.stream.stop(func() {
		// A connection that takes no deadline is closed already, which ends the read too.
		_ = rc.SetReadDeadline(e.now())
	})
	if !whole {
		e.w.Header().Set("Connection", "close")
	}
}
