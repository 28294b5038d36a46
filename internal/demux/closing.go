package demux

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

/*
 How a connection of a caller ends:

 stopped    no further request is accepted: the last one was, a head did not arrive in time, or a request was cut
 aborted    a request was cut before its turn; the connection ends when its turn comes
 closed     nothing more is written to the caller; loop reads on until the caller closes too, or has received all for lingerTime
 loopEnded  nothing more is read; once closed is set as well, the connection is closed
*/

// lingerTime is how long a connection that has ended is read on, until the caller closes it. It starts anew while the caller has not
// received all, for the idle timeout at most.
const lingerTime = 500 * time.Millisecond

// readOn reads and drops what the caller sends after the last request. That detects that it has closed the connection, and keeps unread
// data from turning the close into a reset.
func (c *conn) readOn() {
	for {
		_, err := io.Copy(io.Discard, c.reader)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendLinger() {
			return
		}
	}
}

// extendLinger starts lingerTime anew if the caller has not received all that was sent, and reports whether it did.
func (c *conn) extendLinger() bool {
	_, idle := c.timeouts()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed || socketBytes(c.raw, unix.SIOCOUTQ) == 0 || idle > 0 && c.listener.clock.Now().Sub(c.closedAt) > idle {
		return false
	}
	return c.raw.SetReadDeadline(c.deadlineAfter(lingerTime)) == nil
}

// socketBytes returns a number of bytes in the buffers of a connection's socket, or 0 if it is not known: with unix.SIOCOUTQ of those
// that the other end has not acknowledged, with unix.SIOCINQ of those that were not read.
func socketBytes(c any, request uint) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// If either fails, the connection has ended, and its buffers do not matter.
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), request) })
	return n
}

// endLoop closes the connection if nothing more is written to it.
func (c *conn) endLoop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loopEnded = true
	if c.closed {
		c.release()
	}
}

// release closes the connection. The caller of the method must hold mu.
func (c *conn) release() {
	_ = c.raw.Close()
	c.listener.remove(c)
}

// stop accepts no further requests, and reports whether any are pending. The connection then ends after the last of them.
func (c *conn) stop() (pending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.responseSeq == c.nextSeq {
		return c.closed
	}
	// If this fails, the connection has ended.
	_ = c.setReadDeadline(time.Time{})
	return true
}

// isClosed reports whether nothing more is written to the caller.
func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// virtualClosed removes a virtual connection that the server has closed. If that one held a request, the connection of the
// caller ends: at once if it was the turn of the request, otherwise when its turn comes. The connection also ends if no
// virtual connection is left.
func (c *conn) virtualClosed(vc *virtualConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.removeVirtualConn(vc) {
		return
	}
	c.changed.Broadcast()
	switch {
	case vc.busy && vc.seq == c.responseSeq, len(c.virtualConns) == 0:
		c.closeCaller()
	case vc.busy && (!c.aborted || vc.seq < c.abortedSeq):
		c.abandonAfter(vc.seq)
	}
}

// abandonAfter ends the connection at the turn of request seq and abandons the requests after it, since their responses can
// no longer be written in order.
func (c *conn) abandonAfter(seq uint64) {
	c.aborted, c.abortedSeq, c.stopped = true, seq, true
	for _, vc := range c.virtualConns {
		if vc.busy && vc.seq > seq {
			_ = vc.input.Close()
		}
	}
}

// closeCaller ends the connection of the caller and closes the inputs of all virtual connections. The caller of the method must
// hold mu.
//
// Data that arrives after a close makes the kernel reset the connection, and the reset discards what the caller has not yet
// received of the last response. So only the sending side is shut down as long as loop reads, unless the last response is over.
func (c *conn) closeCaller() {
	if c.closed {
		return
	}
	c.closed = true
	for _, vc := range c.virtualConns {
		_ = vc.input.Close()
	}
	c.changed.Broadcast()
	c.closedAt = c.listener.clock.Now()
	closer, ok := c.raw.(interface{ CloseWrite() error })
	if c.loopEnded || c.serverIdle || c.resets || !ok || closer.CloseWrite() != nil || c.raw.SetReadDeadline(c.deadlineAfter(lingerTime)) != nil {
		c.release()
	}
}

// endWithReset makes the connection end with a reset.
func (c *conn) endWithReset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.raw.(interface{ SetLinger(sec int) error }); ok {
		// Without lingering, Close sends a reset. If this fails, the connection has ended.
		_ = t.SetLinger(0)
		c.resets = true
	}
}

// closeInputs signals to the server that the caller sends nothing more. The server then closes the virtual connections, and
// with the last of them the connection of the caller ends.
func (c *conn) closeInputs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vc := range c.virtualConns {
		_ = vc.input.Close()
	}
}
