package demux

/*
 caller --> conn.loop reads one request after the other --> a free lane --> http.Server's goroutine of that lane
 caller <-- lane.Write, when all requests before it are answered <---------'

 net/http serves the requests of a connection one by one. A lane is a connection to it that holds one request at a
 time. Requests with a body, and whatever cannot be framed by its head alone, wait until all before them are answered.
*/

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// Listener accepts callers' connections and hands out their lanes.
type Listener struct {
	// Bounds returns how long a caller may take, or nil for the server's own limits.
	Bounds func() *bounds.Bounds

	inner net.Listener
	clock clock.Clock
	// accepted are new lanes on their way to the server.
	accepted  chan *virtualConn
	done      chan struct{}
	closeOnce sync.Once
	draining  atomic.Bool
}

// New returns a listener that splits the connections of another one.
func New(on net.Listener, c clock.Clock) *Listener {
	return &Listener{
		Bounds: func() *bounds.Bounds { return nil },
		inner:  on, clock: c, accepted: make(chan *virtualConn), done: make(chan struct{}),
	}
}

// Serve serves callers until the server is shut down; the error is that of the server.
func (l *Listener) Serve(s *http.Server) error {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, virtualConnKey{}, c)
	}
	s.ConnState = func(c net.Conn, st http.ConnState) {
		if ln, ok := c.(*virtualConn); ok && st == http.StateIdle {
			ln.release()
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&writer{ResponseWriter: w, listener: l, ctx: r.Context()}, r)
	})
	go l.loop()
	return s.Serve(l)
}

// virtualConnKey finds the lane in the context of a request.
type virtualConnKey struct{}

// Drain lets each connection end with the answer to the last request that was read from it.
func (l *Listener) Drain() { l.draining.Store(true) }

// loop accepts connections; each gets its first lane at once.
func (l *Listener) loop() {
	for {
		raw, err := l.inner.Accept()
		if err != nil {
			_ = l.Close()
			return
		}
		c := newConn(l, raw)
		if !l.offer(c.newVirtual()) {
			_ = raw.Close()
			return
		}
		go c.loop()
	}
}

// offer hands a lane to the server, or reports that it takes no more.
func (l *Listener) offer(ln *virtualConn) bool {
	select {
	case l.accepted <- ln:
		return true
	case <-l.done:
		return false
	}
}

// Accept returns the next lane; after Close the error is net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case ln := <-l.accepted:
		return ln, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops accepting; open connections stay.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.inner.Close()
}

// Addr returns the address that callers reach.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }
