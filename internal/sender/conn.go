package sender

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// conn counts what it writes and remembers when it last read.
type conn struct {
	net.Conn
	clock    clock.Clock
	writes   atomic.Int64
	lastRead atomic.Pointer[time.Time]
}

func newConn(c net.Conn, cl clock.Clock) *conn {
	out := &conn{Conn: c, clock: cl}
	out.touch()
	return out
}

func (c *conn) touch() {
	now := c.clock.Now()
	c.lastRead.Store(&now)
}

// sinceRead returns the time since the last byte that was read.
func (c *conn) sinceRead() time.Duration { return c.clock.Now().Sub(*c.lastRead.Load()) }

// Read marks the connection as live.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Write counts bytes before they go out, so that a count of none is sure.
func (c *conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}
