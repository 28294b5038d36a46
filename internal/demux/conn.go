package demux

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// conn is a caller's connection; its loop method is a goroutine.
type conn struct {
	listener *Listener
	raw      net.Conn
	reader   *bufio.Reader

	mu sync.Mutex
	// changed is signalled when an answer is complete, a lane is free, or the connection ends.
	changed  *sync.Cond
	virtuals []*virtualConn
	// nextSeq is the ticket of the next request, and serving that of the answer that goes out.
	nextSeq     uint64
	responseSeq uint64
	// noMoreVirtuals is set once the server takes no further lane.
	noMoreVirtuals bool
	// passthrough is set once a lane holds all that is still to come.
	passthrough bool
	// stopped is set once no further request is taken.
	stopped bool
	// hasLast is set once the connection ends with the answer to the ticket end.
	hasLast bool
	lastSeq uint64
	closed  bool
}

// readBufferSize is the size of what is read ahead of the requests in bytes.
const readBufferSize = 8 << 10

func newConn(l *Listener, raw net.Conn) *conn {
	c := &conn{listener: l, raw: raw, reader: bufio.NewReaderSize(raw, readBufferSize)}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// newVirtual adds a lane; the caller has the lock, or the only reference to the connection.
func (c *conn) newVirtual() *virtualConn {
	server, feed := net.Pipe()
	ln := &virtualConn{Conn: server, conn: c, input: feed}
	c.virtuals = append(c.virtuals, ln)
	return ln
}

// removeVirtual takes out a lane and reports whether it was still there.
func (c *conn) removeVirtual(ln *virtualConn) bool {
	i := slices.Index(c.virtuals, ln)
	if i < 0 {
		return false
	}
	c.virtuals = slices.Delete(c.virtuals, i, i+1)
	return true
}

// loop hands one request after the other to the server, until the caller closes or the connection ends.
func (c *conn) loop() {
	for {
		h, err := c.nextHead()
		if err != nil {
			break
		}
		ln := c.acquire(h)
		if ln == nil {
			// Reading on shows when the caller leaves, and keeps the close from becoming a reset.
			_, _ = io.Copy(io.Discard, c.reader)
			break
		}
		if c.forward(ln, h) != nil {
			break
		}
	}
	c.closeInputs()
}

// nextHead reads the head of the next request; the caller may leave the connection idle before it, but not midway.
func (c *conn) nextHead() (*head, error) {
	for {
		read, idle := c.timeouts()
		if err := c.raw.SetReadDeadline(c.after(idle)); err != nil {
			return nil, err
		}
		_, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.hasPending() {
			continue
		}
		if err != nil {
			return nil, err
		}
		if err := c.raw.SetReadDeadline(c.after(read)); err != nil {
			return nil, err
		}
		h, err := readHead(c.reader)
		if err != nil {
			return nil, err
		}
		return h, c.raw.SetReadDeadline(time.Time{})
	}
}

// timeouts are the times for a head and between requests; 0 means no limit here.
func (c *conn) timeouts() (read, idle time.Duration) {
	b := c.listener.Bounds()
	if b == nil {
		return 0, 0
	}
	return b.ReadHeaderTimeout, b.IdleTimeout
}

// after is the time after d, or none where d is 0.
func (c *conn) after(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return c.listener.clock.Now().Add(d)
}

// hasPending reports whether requests are unanswered.
func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responseSeq < c.nextSeq
}

// acquire books a lane for a request once it may be read, or returns nil when the connection takes no more.
func (c *conn) acquire(h *head) *virtualConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.ended() {
		if h.concurrent || c.responseSeq == c.nextSeq {
			if ln := c.idleVirtual(); ln != nil {
				return c.assign(ln, h)
			}
			if len(c.virtuals) < tune.MaxPipelined && !c.noMoreVirtuals {
				c.openVirtual()
				continue
			}
		}
		c.changed.Wait()
	}
	return nil
}

// openVirtual offers the server a further lane, without the lock meanwhile.
func (c *conn) openVirtual() {
	ln := c.newVirtual()
	c.mu.Unlock()
	ok := c.listener.offer(ln)
	c.mu.Lock()
	if !ok {
		c.noMoreVirtuals = true
		c.removeVirtual(ln)
	}
}

func (c *conn) ended() bool { return c.closed || c.stopped }

func (c *conn) idleVirtual() *virtualConn {
	for _, ln := range c.virtuals {
		if !ln.busy {
			return ln
		}
	}
	return nil
}

// assign gives a request its ticket.
func (c *conn) assign(ln *virtualConn, h *head) *virtualConn {
	ln.busy, ln.seq = true, c.nextSeq
	c.nextSeq++
	c.passthrough = h.passthrough
	return ln
}

// forward hands over a request.
func (c *conn) forward(ln *virtualConn, h *head) error {
	if _, err := ln.input.Write(h.bytes); err != nil {
		return err
	}
	for left := h.bodyLen; left > 0 || h.passthrough; {
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		n := c.reader.Buffered()
		if !h.passthrough {
			n = int(min(int64(n), left))
		}
		// What is buffered can be read without an error.
		p, _ := c.reader.Peek(n)
		if _, err := ln.input.Write(p); err != nil {
			return err
		}
		_, _ = c.reader.Discard(n)
		left -= int64(n)
	}
	return nil
}

// awaitTurn waits for the turn of an answer, and reports whether it came.
func (c *conn) awaitTurn(ticket uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.responseSeq != ticket && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

// responseDone passes the turn on.
func (c *conn) responseDone(ln *virtualConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ln.busy || c.passthrough && ln.seq+1 == c.nextSeq {
		return
	}
	ln.busy = false
	c.responseSeq++
	if c.hasLast && c.responseSeq == c.lastSeq {
		c.closeCaller()
	}
	c.changed.Broadcast()
}

// stopIfLast reports whether a request is the last that was read, and takes no further one then.
func (c *conn) stopIfLast(ticket uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ticket+1 != c.nextSeq {
		return false
	}
	c.stopped = true
	return true
}

// virtualClosed takes out a lane that the server has closed. If it held a request, the connection ends there.
func (c *conn) virtualClosed(ln *virtualConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.removeVirtual(ln) {
		return
	}
	c.changed.Broadcast()
	switch {
	case ln.busy && ln.seq == c.responseSeq, len(c.virtuals) == 0:
		c.closeCaller()
	case ln.busy && (!c.hasLast || ln.seq < c.lastSeq):
		c.abandonAfter(ln.seq)
	}
}

// abandonAfter gives up the requests behind a ticket, since no answer to them can follow.
func (c *conn) abandonAfter(ticket uint64) {
	c.hasLast, c.lastSeq, c.stopped = true, ticket, true
	for _, ln := range c.virtuals {
		if ln.busy && ln.seq > ticket {
			_ = ln.input.Close()
		}
	}
}

// closeCaller closes the caller's connection; all lanes see its end.
func (c *conn) closeCaller() {
	if c.closed {
		return
	}
	c.closed = true
	_ = c.raw.Close()
	for _, ln := range c.virtuals {
		_ = ln.input.Close()
	}
	c.changed.Broadcast()
}

// closeInputs tells the server that nothing more comes from the caller; it closes the lanes, and so the connection.
func (c *conn) closeInputs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ln := range c.virtuals {
		_ = ln.input.Close()
	}
}
