package demo

import (
	"net"
	"sync"
)

// blackholeListener is a listener that can permanently blackhole the connections that are open at a given time.
type blackholeListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*blackholeConn
}

// blackholeConn is a connection that can be blackholed: it then stays open but carries no data in either direction.
type blackholeConn struct {
	net.Conn
	mu         sync.Mutex
	blackholed bool
	done       chan struct{}
	once       sync.Once
}

// Accept accepts a connection and keeps it for blackhole.
func (l *blackholeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &blackholeConn{Conn: conn, done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// blackhole blackholes all connections accepted since it was last called.
func (l *blackholeListener) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.mu.Lock()
		c.blackholed = true
		c.mu.Unlock()
	}
	l.conns = nil
}

func (c *blackholeConn) isBlackholed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed
}

// Read reads from the connection. Once it is blackholed, Read discards what arrives and blocks until Close.
func (c *blackholeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isBlackholed() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection. Once it is blackholed, Write discards the data and reports success.
func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.isBlackholed() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and unblocks its reads.
func (c *blackholeConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
