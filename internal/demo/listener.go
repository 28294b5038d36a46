package demo

import (
	"net"
	"sync"
)

// blackholeListener can make the connections that are open go silent for good.
type blackholeListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*blackholeConn
}

// blackholeConn is a connection that can lose what it carries.
type blackholeConn struct {
	net.Conn
	mu         sync.Mutex
	blackholed bool
	done       chan struct{}
	once       sync.Once
}

// Accept takes a connection.
func (l *blackholeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &blackholeConn{Conn: c, done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, s)
	return s, nil
}

// blackhole silences the connections that are open now.
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

func (s *blackholeConn) isBlackholed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blackholed
}

// Read returns nothing more once the connection is silent.
func (s *blackholeConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if s.isBlackholed() {
		<-s.done
		return 0, net.ErrClosed
	}
	return n, err
}

// Write loses what is written once the connection is silent.
func (s *blackholeConn) Write(p []byte) (int, error) {
	if s.isBlackholed() {
		return len(p), nil
	}
	return s.Conn.Write(p)
}

// Close ends the connection.
func (s *blackholeConn) Close() error {
	s.once.Do(func() { close(s.done) })
	return s.Conn.Close()
}
