package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/intact"
	"github.com/balsamvale/balsamvale/internal/memory"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/flow"
)

// bufferResponse reads a response of up to tune.MaxBufferedResponse bytes in full, so that a response that breaks off can
// still be replaced. A longer one, one that does not fit the memory for bodies, or one of an attempt with trailers in either
// direction, is left to be streamed.
func (a *attempt) bufferResponse() {
	if a.res.ContentLength > tune.MaxBufferedResponse || a.req.Trailer != nil || len(a.res.Trailer) > 0 || a.res.Body == http.NoBody {
		return
	}
	body, whole, err := readBuffered(a.res.Body, a.res.ContentLength, tune.MaxBufferedResponse, a.memory)
	if err != nil {
		_ = a.res.Body.Close()
		a.res, a.result.Cause = nil, intact.BodyCause(err)
		return
	}
	if !whole {
		a.res.Body = newPrefixedBody(body, a.res.Body, a.memory)
		return
	}
	_ = a.res.Body.Close()
	a.body, a.res.Body = body, http.NoBody
}

// smallBodyBytes is the length of a body up to which it always fits. It is also the size of the first buffer for a body of unknown
// length.
const smallBodyBytes = 4 << 10

// reservedFor returns the memory to reserve for a buffer of size bytes.
func reservedFor(size int) int64 {
	if size <= smallBodyBytes {
		return 0
	}
	return int64(size)
}

// readBuffered reads a body of up to limit bytes into memory that it reserves. The length of the body is -1 if it is not known.
// Unless the body is read whole, since it is longer or does not fit the memory, the caller has to read the rest.
func readBuffered(r io.Reader, length int64, limit int, m *memory.Budget) (data []byte, whole bool, err error) {
	size := smallBodyBytes
	if length >= 0 {
		size = int(length) + 1
	}
	if !m.Reserve(reservedFor(size)) {
		return nil, false, nil
	}
	data = make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			size := min(2*cap(data), limit+1)
			if len(data) > limit || !m.Reserve(reservedFor(size)) {
				return data, false, nil
			}
			m.Release(reservedFor(cap(data)))
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, len(data) <= limit, nil
		}
		if err != nil {
			return data, false, err
		}
	}
}

// prefixedBody is a body whose first part has already been read: it returns that part again, then the rest.
type prefixedBody struct {
	io.ReadCloser
	prefix []byte
	// memory is where the prefix is reserved; it is released with the last byte.
	memory   *memory.Budget
	reserved int64
}

func newPrefixedBody(prefix []byte, rest io.ReadCloser, m *memory.Budget) *prefixedBody {
	return &prefixedBody{ReadCloser: rest, prefix: prefix, memory: m, reserved: reservedFor(cap(prefix))}
}

// Read reads from the prefix, and then from the rest of the body.
func (b *prefixedBody) Read(p []byte) (int, error) {
	if len(b.prefix) == 0 {
		return b.ReadCloser.Read(p)
	}
	n := copy(p, b.prefix)
	if b.prefix = b.prefix[n:]; len(b.prefix) == 0 {
		b.prefix = nil
		b.memory.Release(b.reserved)
	}
	return n, nil
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

// errNoMemory is the error of a request body that does not fit the memory for bodies.
var errNoMemory = eris.New("no memory for the request body")

// readBody reads a request body of up to tune.MaxReplayBody bytes, so that it can be sent more than once. A larger one, or
// one of unknown length with trailers, is left to be streamed. The error is errNoMemory if the body does not fit the memory.
//
// Such a body is not streamed, as a caller that sends it slowly would hold a slot of an upstream for as long.
func (d *callDriver) readBody() error {
	if d.r.ContentLength < 0 && len(d.r.Trailer) == 0 {
		return d.readUnknownLength()
	}
	if d.r.ContentLength < 0 || d.r.ContentLength > tune.MaxReplayBody {
		d.streamBody(http.MaxBytesReader(d.w, d.r.Body, d.handler.bodyLimit()))
		return nil
	}
	if !d.memory.Reserve(reservedFor(int(d.r.ContentLength))) {
		return errNoMemory
	}
	d.buffered = true
	if d.r.ContentLength == 0 {
		return nil
	}
	d.body = make([]byte, d.r.ContentLength)
	_, err := io.ReadFull(d.r.Body, d.body)
	return err
}

// readUnknownLength reads a body of unknown length if it has up to tune.MaxReplayBody bytes, and leaves the rest of a larger one
// to be streamed. The error is errNoMemory if the body does not fit the memory.
func (d *callDriver) readUnknownLength() error {
	limited := http.MaxBytesReader(d.w, d.r.Body, d.handler.bodyLimit())
	body, whole, err := readBuffered(limited, -1, tune.MaxReplayBody, d.memory)
	if err != nil {
		return err
	}
	if whole {
		d.body, d.buffered, d.chunked = body, true, true
		return nil
	}
	if len(body) <= tune.MaxReplayBody {
		return errNoMemory
	}
	d.streamBody(newPrefixedBody(body, limited, d.memory))
	return nil
}

// streamBody makes body the request body of the only attempt.
func (d *callDriver) streamBody(body io.ReadCloser) {
	d.stream = &stream{ReadCloser: body, onEOF: d.stripTrailer}
	// HTTP/2 is always full duplex and does not need this call.
	_ = http.NewResponseController(d.w).EnableFullDuplex()
}

// refuseBadBody logs, counts and answers a request whose body could not be read before a flow was started for it.
func (d *callDriver) refuseBadBody(err error) {
	h, r := d.handler, d.r
	status, why := d.badBodyStatus(err)
	h.countOwn(status, why)
	h.Log.EarlyRefusal(h.Headers.RequestID(r.Header), r.Host, r.URL.Path, status, why, d.basis, err.Error())
	d.answerBadBody(status)
}

// badBodyStatus returns the status for a request whose body could not be read, and the reason: 413 if the body exceeds the limit,
// or that of tooLargeBody, 408 if it did not arrive in time, otherwise 400.
func (d *callDriver) badBodyStatus(err error) (int, reason.Reason) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return d.handler.tooLargeBody(tooLarge.Limit, len(d.attempts) > 0)
	case errors.Is(err, os.ErrDeadlineExceeded) && len(d.attempts) == 0:
		return http.StatusRequestTimeout, reason.BodyLate
	}
	return http.StatusBadRequest, reason.BodyUnreadable
}

// answerBadBody answers a request whose body could not be read, and closes the connection.
func (d *callDriver) answerBadBody(status int) {
	outcome := flow.OutcomeBeforeClaim(d.handler.Headers.IdempotencyKey(d.r.Header) != "")
	if len(d.attempts) > 0 {
		outcome = outcom.Unknown
	}
	if status == http.StatusServiceUnavailable {
		d.handler.prepareUnserved(d.w.Header(), reason.Outdated)
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
