package resets

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection on which Read returns io.EOF only if the peer has closed the connection or its sending side.
//
// The kernel reports a reset once. If a Write gets the report, the next Read of a net.TCPConn returns io.EOF, which is the regular
// end of an HTTP/1 response without a length.
type Conn struct {
	net.Conn
	// mu is held during a write.
	mu sync.Mutex
	// lost is the first error of a write that shows that the connection was lost; 0 if there is none.
	lost syscall.Errno
}

// New returns a Conn over c, which is read and written only through it from now on.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// DialContext returns a function that opens connections with d and returns each as a Conn; the errors are those of d.
func DialContext(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write writes to the connection; errors are those of the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	var errno syscall.Errno
	// A reset that follows the regular end of what the peer sends is reported as EPIPE.
	if c.lost == 0 && errors.As(err, &errno) && errno != syscall.EPIPE {
		c.lost = errno
	}
	return n, err
}

// Read reads from the connection; errors are those of the connection, but io.EOF only after all that the peer has sent.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF || c.halfOpen() {
		return n, err
	}
	// No write waits on a connection that has ended. One that is about to return may have got the report of a reset.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost != 0 {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: c.lost}
	}
	return n, err
}

// halfOpen reports whether the connection can still be written to: its peer has closed the sending side, and nothing has reset it.
func (c *Conn) halfOpen() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	// Control fails only if the connection is closed on this side.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State != unix.BPF_TCP_CLOSE
	})
	return open
}
