package demux

import (
	"net"
	"time"
)

// virtualConn is a connection to the server that holds one request of a caller's connection at a time.
//
// What the server reads comes through a pipe, which brings the deadlines that net/http interrupts its reads with.
type virtualConn struct {
	net.Conn
	conn *conn
	// input is the other end of the pipe.
	input net.Conn
	// seq is the place of the request among all of the connection; the conn's lock guards it and busy.
	seq  uint64
	busy bool
}

// Write sends a part of an answer once all requests before it are answered.
func (ln *virtualConn) Write(p []byte) (int, error) {
	if !ln.conn.awaitTurn(ln.seq) {
		return 0, net.ErrClosed
	}
	return ln.conn.raw.Write(p)
}

// release lets the next answer go out, and the lane take another request.
func (ln *virtualConn) release() { ln.conn.responseDone(ln) }

// stopIfLast reports whether no request was read after this one, and keeps it so.
func (ln *virtualConn) stopIfLast() bool { return ln.conn.stopIfLast(ln.seq) }

// Close ends the connection if the server leaves a request or the last lane with it, else the lane alone.
func (ln *virtualConn) Close() error {
	ln.conn.virtualClosed(ln)
	_ = ln.input.Close()
	return ln.Conn.Close()
}

// CloseWrite ends what the caller reads and leaves open what it still sends, once the answer is out.
func (ln *virtualConn) CloseWrite() error {
	half, ok := ln.conn.raw.(interface{ CloseWrite() error })
	if !ok || !ln.conn.awaitTurn(ln.seq) {
		return net.ErrClosed
	}
	return half.CloseWrite()
}

// LocalAddr returns the entry's address.
func (ln *virtualConn) LocalAddr() net.Addr { return ln.conn.raw.LocalAddr() }

// RemoteAddr returns the caller's address.
func (ln *virtualConn) RemoteAddr() net.Addr { return ln.conn.raw.RemoteAddr() }

// SetWriteDeadline bounds writes to the caller.
func (ln *virtualConn) SetWriteDeadline(t time.Time) error { return ln.conn.raw.SetWriteDeadline(t) }

// SetDeadline bounds reads of the lane and writes to the caller.
func (ln *virtualConn) SetDeadline(t time.Time) error {
	if err := ln.SetWriteDeadline(t); err != nil {
		return err
	}
	return ln.SetReadDeadline(t)
}
