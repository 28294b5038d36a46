package demux

/*
 caller --> conn.loop reads the requests one by one --> an idle virtualConn --> goroutine of http.Server for it
 caller <-- virtualConn.Write waits until all earlier requests are answered <--'

 net/http serves the requests of a connection one after the other. Therefore each connection of a caller is split into
 several virtual connections to http.Server, each of which holds one request at a time. A GET or HEAD request without a
 body may run while earlier requests are unanswered. Any other request, such as one with a body or one whose end cannot
 be told from its head, waits until all requests before it are answered.
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

// Listener accepts callers' connections and passes their virtual connections to an http.Server.
type Listener struct {
	// Bounds returns the time limits for reading requests, or nil if only the server's own limits apply.
	Bounds func() *bounds.Bounds

	inner net.Listener
	clock clock.Clock
	// accepted passes new virtual connections to Accept.
	accepted chan *virtualConn
	// done is closed by Close.
	done      chan struct{}
	closeOnce sync.Once
	draining  atomic.Bool
}

// New returns a Listener that splits the connections accepted by inner. Read deadlines are computed from the time of c.
func New(inner net.Listener, c clock.Clock) *Listener {
	return &Listener{
		Bounds: func() *bounds.Bounds { return nil },
		inner:  inner, clock: c, accepted: make(chan *virtualConn), done: make(chan struct{}),
	}
}

// Serve accepts connections and serves them with s until s is shut down or accepting fails. It sets the ConnContext and
// ConnState hooks of s and wraps its handler. The error is that of s.Serve.
func (l *Listener) Serve(s *http.Server) error {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, virtualConnKey{}, c)
	}
	s.ConnState = func(c net.Conn, st http.ConnState) {
		if vc, ok := c.(*virtualConn); ok && st == http.StateIdle {
			vc.release()
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&writer{ResponseWriter: w, listener: l, ctx: r.Context()}, r)
	})
	go l.loop()
	return s.Serve(l)
}

// virtualConnKey is the context key of the virtualConn that a request arrived on.
type virtualConnKey struct{}

// Drain makes each connection close after the response to the last request that was accepted from it.
func (l *Listener) Drain() { l.draining.Store(true) }

// loop accepts connections; each starts with one virtual connection.
func (l *Listener) loop() {
	for {
		raw, err := l.inner.Accept()
		if err != nil {
			_ = l.Close()
			return
		}
		c := newConn(l, raw)
		if !l.offer(c.newVirtualConn()) {
			_ = raw.Close()
			return
		}
		go c.loop()
	}
}

// offer passes a virtual connection to Accept. It returns false if the listener is closed.
func (l *Listener) offer(vc *virtualConn) bool {
	select {
	case l.accepted <- vc:
		return true
	case <-l.done:
		return false
	}
}

// Accept returns the next virtual connection; after Close the error is net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case vc := <-l.accepted:
		return vc, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops accepting connections; open ones stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.inner.Close()
}

// Addr returns the address that callers connect to.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }
