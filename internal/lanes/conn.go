package lanes

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
	in       *bufio.Reader

	mu sync.Mutex
	// changed is signalled when an answer is complete, a lane is free, or the connection ends.
	changed *sync.Cond
	lanes   []*lane
	// next is the ticket of the next request, and serving that of the answer that goes out.
	next    uint64
	serving uint64
	// narrow is set once the server takes no further lane.
	narrow bool
	// endless is set once a lane holds all that is still to come.
	endless bool
	// stopped is set once no further request is taken.
	stopped bool
	// ending is set once the connection ends with the answer to the ticket end.
	ending bool
	end    uint64
	closed bool
}

// buffer is the size of what is read ahead of the requests in bytes.
const buffer = 8 << 10

func newConn(l *Listener, raw net.Conn) *conn {
	c := &conn{listener: l, raw: raw, in: bufio.NewReaderSize(raw, buffer)}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// lane adds a lane; the caller has the lock, or the only reference to the connection.
func (c *conn) lane() *lane {
	server, feed := net.Pipe()
	ln := &lane{Conn: server, conn: c, feed: feed}
	c.lanes = append(c.lanes, ln)
	return ln
}

// drop takes out a lane and reports whether it was still there.
func (c *conn) drop(ln *lane) bool {
	i := slices.Index(c.lanes, ln)
	if i < 0 {
		return false
	}
	c.lanes = slices.Delete(c.lanes, i, i+1)
	return true
}

// loop hands one request after the other to the server, until the caller closes or the connection ends.
func (c *conn) loop() {
	for {
		h, err := c.head()
		if err != nil {
			break
		}
		ln := c.take(h)
		if ln == nil {
			// Reading on shows when the caller leaves, and keeps the close from becoming a reset.
			_, _ = io.Copy(io.Discard, c.in)
			break
		}
		if c.pass(ln, h) != nil {
			break
		}
	}
	c.hangUp()
}

// head reads the head of the next request; the caller may leave the connection idle before it, but not midway.
func (c *conn) head() (*head, error) {
	for {
		read, idle := c.limits()
		if err := c.raw.SetReadDeadline(c.after(idle)); err != nil {
			return nil, err
		}
		_, err := c.in.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.working() {
			continue
		}
		if err != nil {
			return nil, err
		}
		if err := c.raw.SetReadDeadline(c.after(read)); err != nil {
			return nil, err
		}
		h, err := readHead(c.in)
		if err != nil {
			return nil, err
		}
		return h, c.raw.SetReadDeadline(time.Time{})
	}
}

// limits are the times for a head and between requests; 0 means no limit here.
func (c *conn) limits() (read, idle time.Duration) {
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

// working reports whether requests are unanswered.
func (c *conn) working() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving < c.next
}

// take books a lane for a request once it may be read, or returns nil when the connection takes no more.
func (c *conn) take(h *head) *lane {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.over() {
		if h.alone || c.serving == c.next {
			if ln := c.free(); ln != nil {
				return c.assign(ln, h)
			}
			if len(c.lanes) < tune.MaxPipelined && !c.narrow {
				c.widen()
				continue
			}
		}
		c.changed.Wait()
	}
	return nil
}

// widen offers the server a further lane, without the lock meanwhile.
func (c *conn) widen() {
	ln := c.lane()
	c.mu.Unlock()
	ok := c.listener.offer(ln)
	c.mu.Lock()
	if !ok {
		c.narrow = true
		c.drop(ln)
	}
}

func (c *conn) over() bool { return c.closed || c.stopped }

func (c *conn) free() *lane {
	for _, ln := range c.lanes {
		if !ln.busy {
			return ln
		}
	}
	return nil
}

// assign gives a request its ticket.
func (c *conn) assign(ln *lane, h *head) *lane {
	ln.busy, ln.ticket = true, c.next
	c.next++
	c.endless = h.endless
	return ln
}

// pass hands over a request.
func (c *conn) pass(ln *lane, h *head) error {
	if _, err := ln.feed.Write(h.bytes); err != nil {
		return err
	}
	for left := h.body; left > 0 || h.endless; {
		if _, err := c.in.Peek(1); err != nil {
			return err
		}
		n := c.in.Buffered()
		if !h.endless {
			n = int(min(int64(n), left))
		}
		// What is buffered can be read without an error.
		p, _ := c.in.Peek(n)
		if _, err := ln.feed.Write(p); err != nil {
			return err
		}
		_, _ = c.in.Discard(n)
		left -= int64(n)
	}
	return nil
}

// await waits for the turn of an answer, and reports whether it came.
func (c *conn) await(ticket uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.serving != ticket && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

// answered passes the turn on.
func (c *conn) answered(ln *lane) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ln.busy || c.endless && ln.ticket+1 == c.next {
		return
	}
	ln.busy = false
	c.serving++
	if c.ending && c.serving == c.end {
		c.shut()
	}
	c.changed.Broadcast()
}

// stopAfter reports whether a request is the last that was read, and takes no further one then.
func (c *conn) stopAfter(ticket uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ticket+1 != c.next {
		return false
	}
	c.stopped = true
	return true
}

// leave takes out a lane that the server has closed. If it held a request, the connection ends there.
func (c *conn) leave(ln *lane) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.drop(ln) {
		return
	}
	c.changed.Broadcast()
	switch {
	case ln.busy && ln.ticket == c.serving, len(c.lanes) == 0:
		c.shut()
	case ln.busy && (!c.ending || ln.ticket < c.end):
		c.endWith(ln.ticket)
	}
}

// endWith gives up the requests behind a ticket, since no answer to them can follow.
func (c *conn) endWith(ticket uint64) {
	c.ending, c.end, c.stopped = true, ticket, true
	for _, ln := range c.lanes {
		if ln.busy && ln.ticket > ticket {
			_ = ln.feed.Close()
		}
	}
}

// shut closes the caller's connection; all lanes see its end.
func (c *conn) shut() {
	if c.closed {
		return
	}
	c.closed = true
	_ = c.raw.Close()
	for _, ln := range c.lanes {
		_ = ln.feed.Close()
	}
	c.changed.Broadcast()
}

// hangUp tells the server that nothing more comes from the caller; it closes the lanes, and so the connection.
func (c *conn) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ln := range c.lanes {
		_ = ln.feed.Close()
	}
}
