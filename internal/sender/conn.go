package sender

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// conn is a connection to an upstream that counts its writes and records the time of its last read.
type conn struct {
	net.Conn
	clock    clock.Clock
	writes   atomic.Int64
	lastRead atomic.Pointer[time.Time]
	// awaiting is the exchange that has got no byte of a response yet; nil if there is none.
	awaiting atomic.Pointer[exchange]
	// failed is set once a read has failed.
	failed atomic.Bool
	// outOfStep is set once a response to another attempt was read; what was read after it belongs to no attempt.
	outOfStep atomic.Bool
}

func newConn(c net.Conn, cl clock.Clock) *conn {
	out := &conn{Conn: c, clock: cl}
	out.markRead()
	return out
}

func (c *conn) markRead() {
	now := c.clock.Now()
	c.lastRead.Store(&now)
}

// sinceRead returns the time since data was last read, or since the connection was opened if none was.
func (c *conn) sinceRead() time.Duration { return c.clock.Now().Sub(*c.lastRead.Load()) }

// await makes the end of the connection cancel e, until the first byte of a response to it is read.
func (c *conn) await(e *exchange) {
	c.awaiting.Store(e)
	if c.failed.Load() {
		e.cancel(errConnLost)
	}
}

// fail records that a read has failed, and cancels the exchange that waits for a response.
func (c *conn) fail() {
	c.failed.Store(true)
	if e := c.awaiting.Load(); e != nil {
		e.cancel(errConnLost)
	}
}

// Read reads from the connection and, if any byte arrives, records the time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.markRead()
		c.awaiting.Store(nil)
	}
	if err != nil {
		c.fail()
	}
	return n, err
}

// Write writes to the connection. It counts the write before it starts, so that an unchanged count proves that nothing was
// sent; a write that fails without sending a byte is not counted.
func (c *conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
		// If a part of the request was written, a response may still come.
		if e := c.awaiting.Load(); e != nil && c.writes.Load() == e.writesAtStart {
			e.cancel(errConnLost)
		}
	}
	return n, err
}
