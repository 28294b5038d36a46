package demux

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/reason"
)

// virtualConn is a connection to the server that holds one request of a caller's connection at a time.
//
// It reads from a pipe, since net/http interrupts its reads by setting a read deadline and a pipe supports deadlines. It
// writes to the caller's connection.
type virtualConn struct {
	// Conn is the end of the pipe that the server reads.
	net.Conn
	// conn is the connection of the caller.
	conn *conn
	// input is the end of the pipe that conn writes requests to.
	input net.Conn
	// seq is the sequence number of the request on the caller's connection. It changes only under conn.mu and while busy is
	// not set, so that the server can read it without the lock during a request.
	seq uint64
	// due is the length of the request in bytes, with its head and body; 0 if it is not known. consumed counts the bytes of
	// it that the server has read. Both start anew with each request.
	due      int64
	consumed atomic.Int64
	// busy is set while a request is assigned and not fully answered; guarded by conn.mu.
	busy bool
	// answered is set once a handler has the current request, or the server has begun to answer it by itself.
	answered atomic.Bool
	// meter counts the heads that the server reads by itself; nil while it gets them from conn. It is set before the bytes of such a
	// request are written to input.
	meter atomic.Pointer[headMeter]
}

// Write writes a part of the response to the caller once all earlier requests are answered. The error is net.ErrClosed if
// the connection closes before that, and os.ErrDeadlineExceeded if the caller takes nothing for the idle timeout.
func (vc *virtualConn) Write(p []byte) (int, error) {
	if !vc.conn.awaitTurn(vc.seq) {
		return 0, net.ErrClosed
	}
	vc.noteServerAnswer(p)
	_, idle := vc.conn.timeouts()
	for n := 0; ; {
		if err := vc.conn.raw.SetWriteDeadline(vc.conn.deadlineAfter(idle)); err != nil {
			return n, err
		}
		m, err := vc.conn.raw.Write(p[n:])
		n += m
		if m == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// noteServerAnswer reports the start of an HTTP/1 response to a request that no handler has seen.
func (vc *virtualConn) noteServerAnswer(p []byte) {
	if vc.answered.Load() {
		return
	}
	status, ok := parseStatus(p)
	if !ok {
		return
	}
	vc.setAnswered()
	vc.conn.reportOwn(status, serverReason(status))
}

// setAnswered notes that a handler has the current request, or that the server answers it by itself.
func (vc *virtualConn) setAnswered() {
	vc.answered.Store(true)
	if m := vc.meter.Load(); m != nil {
		m.endHead()
	}
}

// parseStatus returns the status of an HTTP/1 response that begins with p, and whether it is one.
func parseStatus(p []byte) (status int, ok bool) {
	version, rest, _ := bytes.Cut(p[:min(len(p), maxStatusLine)], []byte(" "))
	code, _, ok := bytes.Cut(rest, []byte(" "))
	status, err := strconv.Atoi(string(code))
	return status, ok && err == nil && bytes.HasPrefix(version, []byte("HTTP/1."))
}

// maxStatusLine is more than the length of a status line up to the space behind the status, in bytes.
const maxStatusLine = 16

// serverReason returns why net/http answers a request by itself.
func serverReason(status int) reason.Reason {
	switch status {
	case http.StatusOK:
		return reason.ServerOptions
	case http.StatusRequestHeaderFieldsTooLarge:
		return reason.HeaderTooLarge
	case http.StatusNotImplemented, http.StatusHTTPVersionNotSupported, http.StatusExpectationFailed:
		return reason.Unsupported
	}
	return reason.Malformed
}

// Read reads a part of the request. It fails if that is part of a head that exceeds its limit or does not fit the memory.
func (vc *virtualConn) Read(p []byte) (int, error) {
	if m := vc.meter.Load(); m != nil && !m.beginRead() {
		return 0, errHeadRefused
	}
	n, err := vc.Conn.Read(p)
	vc.consumed.Add(int64(n))
	m := vc.meter.Load()
	if n == 0 || m == nil {
		return n, err
	}
	limit, merr := m.note(p[:n], vc.answered.Load())
	if changed, open := m.updateLimit(); changed {
		vc.conn.limitHead(open)
	}
	switch {
	case limit > 0:
		m.refuse()
		vc.refuseHead(limit)
		return 0, errHeadRefused
	case merr != nil:
		m.refuse()
		vc.conn.reportOwn(0, reason.NoMemory)
		return 0, errHeadRefused
	}
	return n, err
}

// errHeadRefused is the error of a read of a head that is not read further. On such an error the server writes nothing.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// release lets the next response be written and makes vc available for another request.
func (vc *virtualConn) release() { vc.conn.responseDone(vc) }

// isLast reports whether no request is accepted after the one that vc holds.
func (vc *virtualConn) isLast() bool { return vc.conn.isLast(vc.seq) }

// Close closes the virtual connection. It also ends the connection of the caller if vc holds a request or no other virtual
// connection is left.
func (vc *virtualConn) Close() error {
	vc.conn.virtualClosed(vc)
	_ = vc.input.Close()
	if m := vc.meter.Load(); m != nil {
		m.memory.Close()
	}
	return vc.Conn.Close()
}

// IsTurn reports whether the response to a request with the given context is due, as all earlier requests of its connection are
// answered, or as the request did not come through a Listener.
func IsTurn(ctx context.Context) bool {
	vc, ok := ctx.Value(virtualConnKey{}).(*virtualConn)
	return !ok || vc.conn.isTurn(vc.seq)
}

// AwaitTurn waits until IsTurn holds or the connection closes. It returns false if limit is done by then.
func AwaitTurn(ctx, limit context.Context) bool {
	vc, ok := ctx.Value(virtualConnKey{}).(*virtualConn)
	if !ok {
		return limit.Err() == nil
	}
	return vc.conn.awaitTurnWithin(limit, vc.seq)
}

// EndWithReset makes the connection of a request with the given context end with a reset once the server closes it, so that a response
// without a length is not taken for complete. It does nothing if the request did not come through a Listener.
func EndWithReset(ctx context.Context) {
	if vc, ok := ctx.Value(virtualConnKey{}).(*virtualConn); ok {
		vc.conn.endWithReset()
	}
}

// CloseWrite waits until all earlier requests are answered and shuts down the writing side of the connection of the
// caller, which may still send.
func (vc *virtualConn) CloseWrite() error {
	closer, ok := vc.conn.raw.(interface{ CloseWrite() error })
	if !ok || !vc.conn.awaitTurn(vc.seq) {
		return net.ErrClosed
	}
	return closer.CloseWrite()
}

// SetReadDeadline sets the deadline for reads of the request. Without a request there is none: the server would close a virtual
// connection that is idle in the moment in which it gets a request, and cut those on the others. The listener itself ends
// connections that are idle.
func (vc *virtualConn) SetReadDeadline(t time.Time) error {
	if vc.conn.hasNoRequest(vc) {
		t = time.Time{}
	}
	return vc.Conn.SetReadDeadline(t)
}

// LocalAddr returns the local address of the connection of the caller.
func (vc *virtualConn) LocalAddr() net.Addr { return vc.conn.raw.LocalAddr() }

// RemoteAddr returns the address of the caller.
func (vc *virtualConn) RemoteAddr() net.Addr { return vc.conn.raw.RemoteAddr() }

// SetWriteDeadline sets the deadline for writes to the caller, until the next write; all virtual connections of a caller's
// connection share it.
func (vc *virtualConn) SetWriteDeadline(t time.Time) error { return vc.conn.raw.SetWriteDeadline(t) }

// SetDeadline sets the deadlines for reads of the request and for writes to the caller.
func (vc *virtualConn) SetDeadline(t time.Time) error {
	if err := vc.SetWriteDeadline(t); err != nil {
		return err
	}
	return vc.SetReadDeadline(t)
}
