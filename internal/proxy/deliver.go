package proxy

import (
	"errors"
	"io"
	"net/http"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/internal/demux"
	"github.com/balsamvale/balsamvale/internal/memory"
	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// deliver passes the response of the winning attempt on to the caller. If the body cannot be copied to its end, it aborts
// the connection, which takes the responses to requests behind it along. So a response that is cut before its turn is not begun.
func (d *callDriver) deliver(s step.Step) {
	a := d.attempts[s.Attempt]
	d.cancelOthers(a.id)
	defer a.cancel()
	defer func() { _ = a.res.Body.Close() }()
	if why := d.holdUntilTurn(a); why != reason.None {
		d.flow.Close(d.now(), a.id)
		d.answerRefusal(step.Step{Stage: stage.Refuse, Outcome: outcom.Unknown, Reason: why})
		return
	}
	h := d.w.Header()
	for k, v := range a.res.Header {
		h[k] = v
	}
	d.handler.Headers.PrepareResponse(h)
	var passedOn http.Header
	if d.claimed {
		passedOn = h.Clone()
	}
	for k := range a.res.Trailer {
		h.Add("Trailer", k)
	}
	d.closeUnlessBodyRead()
	d.w.WriteHeader(a.res.StatusCode)
	saved, err := d.copyBody(a)
	d.flow.Close(d.now(), a.id)
	if d.claimed {
		head, headErr := codec.EncodeHead(passedOn, a.res.Trailer)
		ans := answer.Answer{Status: a.res.StatusCode, Type: passedOn.Get("Content-Type"), Head: head, Body: saved}
		d.completeClaim(ans, err == nil && headErr == nil && saved != nil)
	}
	if err != nil {
		why := reason.ResponseCut
		if d.writeFailed {
			why = reason.CallerGone
		}
		d.handler.countOwn(0, why)
		d.handler.Log.Abort(d.call, why, d.basis, err)
		// Aborting the connection keeps the caller from taking a partial response for a complete one. Over HTTP/1.0, the end of a
		// response without a length is that of the connection.
		if !d.r.ProtoAtLeast(1, 1) && h.Get("Content-Length") == "" {
			demux.EndWithReset(d.r.Context())
		}
		panic(http.ErrAbortHandler)
	}
	for k, v := range a.res.Trailer {
		h[k] = v
	}
	d.handler.countCall(d.call, outcom.Answered, reason.None, d.waited)
}

// holdUntilTurn waits until the response is due. Meanwhile it reads the body, if that has a known length of up to
// tune.MaxHeldResponse bytes and fits the memory, so that the deadline cannot cut it any more. It returns why the response cannot be
// delivered, if so.
func (d *callDriver) holdUntilTurn(a *attempt) reason.Reason {
	if a.res.Body == http.NoBody {
		return reason.None
	}
	if n := a.res.ContentLength; n >= 0 && n <= tune.MaxHeldResponse && !demux.IsTurn(d.r.Context()) {
		body, whole, err := readBuffered(a.res.Body, n, tune.MaxHeldResponse, d.memory)
		if err != nil {
			return d.whyCut(a)
		}
		if whole {
			_ = a.res.Body.Close()
			a.body, a.res.Body = body, http.NoBody
			return reason.None
		}
		a.res.Body = newPrefixedBody(body, a.res.Body, d.memory)
	}
	if !demux.AwaitTurn(d.r.Context(), a.ctx) {
		return d.whyCut(a)
	}
	return reason.None
}

// whyCut returns why the body of a response could not be read.
func (d *callDriver) whyCut(a *attempt) reason.Reason {
	switch {
	case d.r.Context().Err() != nil:
		return reason.CallerGone
	case a.ctx.Err() != nil:
		return reason.Deadline
	}
	return reason.ResponseCut
}

const (
	// copyBufferSize is the size of the buffer for copying a response body, in bytes.
	copyBufferSize = 32 << 10
	// minCopyBufferSize replaces copyBufferSize when the memory for bodies is used up.
	minCopyBufferSize = 4 << 10
)

// copyBody passes the body of a response on to the caller. If the call has claimed an idempotency key and the body has at most
// tune.MaxClaimResponse bytes, it returns the body, to be replayed if the caller sends the call again, and nil otherwise. With an
// error, what it returns may be incomplete.
func (d *callDriver) copyBody(a *attempt) (saved []byte, err error) {
	saved = []byte{}
	total := 0
	rc := http.NewResponseController(d.w)
	write := func(p []byte) error {
		if d.r.ProtoMajor > 1 {
			// The listener sees to callers of HTTP/1 that take nothing. If setting a deadline fails, the stream is closed.
			_ = rc.SetWriteDeadline(d.now().Add(d.handler.idleTimeout()))
		}
		if total += len(p); d.claimed && total <= tune.MaxClaimResponse {
			saved = append(saved, p...)
		}
		if _, err := d.w.Write(p); err != nil {
			d.writeFailed = true
			return err
		}
		if a.res.ContentLength < 0 {
			_ = rc.Flush()
		}
		return nil
	}
	if len(a.body) > 0 {
		err = write(a.body)
	}
	if err == nil && a.res.Body != http.NoBody {
		err = copyChunks(a.res.Body, d.memory, write)
	}
	if err == nil && total > tune.MaxClaimResponse {
		saved = nil
	}
	return saved, err
}

// copyChunks reads r to its end and passes each part to write.
func copyChunks(r io.Reader, m *memory.Budget, write func(p []byte) error) error {
	size := copyBufferSize
	if !m.Reserve(copyBufferSize) {
		size = minCopyBufferSize
	}
	buf := make([]byte, size)
	for {
		n, rerr := r.Read(buf)
		if n > 0 {
			if err := write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(rerr, io.EOF) {
			return nil
		}
		if rerr != nil {
			return rerr
		}
	}
}
