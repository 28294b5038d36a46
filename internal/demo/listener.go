package demo

import (
	"net"
	"sync"
)

// listener can make the connections that are open go silent for good.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silent
}

// silent is a connection that can lose what it carries.
type silent struct {
	net.Conn
	mu   sync.Mutex
	mute bool
	done chan struct{}
	once sync.Once
}

// Accept takes a connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &silent{Conn: c, done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, s)
	return s, nil
}

// mute silences the connections that are open now.
func (l *listener) mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.mu.Lock()
		c.mute = true
		c.mu.Unlock()
	}
	l.conns = nil
}

func (s *silent) muted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mute
}

// Read returns nothing more once the connection is silent.
func (s *silent) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if s.muted() {
		<-s.done
		return 0, net.ErrClosed
	}
	return n, err
}

// Write loses what is written once the connection is silent.
func (s *silent) Write(p []byte) (int, error) {
	if s.muted() {
		return len(p), nil
	}
	return s.Conn.Write(p)
}

// Close ends the connection.
func (s *silent) Close() error {
	s.once.Do(func() { close(s.done) })
	return s.Conn.Close()
}
