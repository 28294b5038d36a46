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
	"errors"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/internal/memory"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Listener accepts callers' connections and passes their virtual connections to an http.Server.
type Listener struct {
	// Bounds returns the limits for reading heads of requests, or nil if only MaxHeaderBytes and the server's time limits apply.
	Bounds func() *bounds.Bounds
	// RefuseHead returns the response to a request whose head exceeds the limit in bytes, and the reason for it.
	RefuseHead func(limit int) (status int, why reason.Reason, h http.Header)
	// MaxHeaderBytes is the limit for the head of a request in bytes while Bounds has none; 0 for tune.MaxHeadBytes.
	MaxHeaderBytes int
	// MaxConns is the number of connections from which on the longest idle ones close to make room for others; 0 for no limit.
	// Without an idle one, further connections wait in the queue of the listener.
	MaxConns int
	// Memory is charged for each connection; nil for no limit. A third of it bounds the requests that are served at
	// once beyond the first of each connection: without memory, pipelined requests wait for one another.
	Memory *memory.Budget
	// OnPressure is called before room is made, with the number of open connections and the error of Accept, if it was one.
	OnPressure func(conns int, err error)
	// OnServerAnswer is called for each response to a request that no handler has seen, of RefuseHead or the server, and with
	// status 0 for a connection that closes because the head of a request is late or does not fit the memory. It must not block.
	OnServerAnswer func(caller netip.AddrPort, status int, why reason.Reason)

	inner net.Listener
	clock clock.Clock
	// pipelined is the part of Memory for virtual connections beyond the first of each connection; set before started is closed.
	pipelined *memory.Budget
	// accepted passes new virtual connections to Accept.
	accepted chan *virtualConn
	// done is closed by Close.
	done      chan struct{}
	closeOnce sync.Once
	draining  atomic.Bool
	// mu guards conns and closing.
	mu sync.Mutex
	// conns are the open connections of callers.
	conns map[*conn]struct{}
	// closing is set once connections close as soon as no request is pending on them.
	closing bool
	// admitUntil is when a shutdown stops waiting for further connections; set before closing.
	admitUntil atomic.Pointer[time.Time]
	// accepting is set while loop runs.
	accepting atomic.Bool
	// acceptCount counts the connections that were accepted.
	acceptCount atomic.Uint64
	// server serves the virtual connections; set before started is closed.
	server *http.Server
	// started is closed once Serve accepts connections.
	started chan struct{}
}

// New returns a Listener that splits the connections accepted by inner. Read deadlines are computed from the time of c.
func New(inner net.Listener, c clock.Clock) *Listener {
	return &Listener{
		Bounds: func() *bounds.Bounds { return nil },
		RefuseHead: func(int) (int, reason.Reason, http.Header) {
			return http.StatusRequestHeaderFieldsTooLarge, reason.HeaderTooLarge, http.Header{}
		},
		OnPressure: func(int, error) {}, OnServerAnswer: func(netip.AddrPort, int, reason.Reason) {},
		inner: inner, clock: c, accepted: make(chan *virtualConn), done: make(chan struct{}),
		started: make(chan struct{}), conns: map[*conn]struct{}{},
	}
}

// Serve accepts connections and serves them with s until s is shut down or accepting fails; it is called once. It sets the ConnContext and
// ConnState hooks of s and wraps its handler. The error is that of s.Serve.
func (l *Listener) Serve(s *http.Server) error {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, virtualConnKey{}, c)
	}
	s.ConnState = func(c net.Conn, st http.ConnState) {
		vc, ok := c.(*virtualConn)
		switch {
		case ok && st == http.StateActive:
			vc.conn.markActive()
		case ok && st == http.StateIdle:
			vc.answered.Store(false)
			vc.release()
		}
	}
	l.server = s
	l.pipelined = l.Memory.Part(l.Memory.Limit() / pipelinedFraction)
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if vc, ok := r.Context().Value(virtualConnKey{}).(*virtualConn); ok {
			vc.setAnswered()
		}
		next.ServeHTTP(&writer{ResponseWriter: w, ctx: r.Context()}, r)
	})
	l.accepting.Store(true)
	close(l.started)
	go l.loop()
	return s.Serve(l)
}

// pipelinedFraction is the inverse of the fraction of Memory that virtual connections beyond the first of each connection may take.
const pipelinedFraction = 3

// virtualConnKey is the context key of the virtualConn that a request arrived on.
type virtualConnKey struct{}

// OpenedAt returns when the connection was accepted that a request with the given context came on. It returns the zero time
// if the request did not come through a Listener.
func OpenedAt(ctx context.Context) time.Time {
	if vc, ok := ctx.Value(virtualConnKey{}).(*virtualConn); ok {
		return vc.conn.opened
	}
	return time.Time{}
}

// Accepted returns the number of connections that were accepted.
func (l *Listener) Accepted() uint64 { return l.acceptCount.Load() }

// Drain makes each connection close after the response to the last request that was accepted from it, as soon as no other request
// has been accepted by then.
func (l *Listener) Drain() { l.draining.Store(true) }

// Shutdown accepts the connections that callers have opened already, closes the listener, and waits until each request that
// has begun to arrive is answered. It closes the other connections, and takes one more request at most from those that callers
// keep busy. Drain must have been called before.
//
// While callers go on opening connections, it accepts them until admitUntil and then closes the listener as soon as no
// connection waits, or after maxLateAccepts more. The error is that of ctx if it is done first; Shutdown may then be called again.
func (l *Listener) Shutdown(ctx context.Context, admitUntil time.Time) error {
	select {
	case <-l.started:
	case <-ctx.Done():
		return ctx.Err()
	}
	l.admitUntil.Store(&admitUntil)
	// loop must know of the shutdown before an Accept can fail at the deadline.
	l.beginClosing()
	if d, ok := l.inner.(interface{ SetDeadline(time.Time) error }); ok {
		// Accepting ends at the deadline. Closing the listener instead would reset the connections in its queue.
		if err := d.SetDeadline(l.clock.Now().Add(acceptGrace)); err != nil && !errors.Is(err, net.ErrClosed) {
			return err
		}
	}
	if err := l.await(ctx, l.idle); err != nil {
		return err
	}
	if err := l.server.Shutdown(ctx); err != nil {
		return err
	}
	// The server is done with a connection before the caller has the last response.
	return l.await(ctx, func() bool { return l.Conns() == 0 })
}

// await waits until cond is true; the error is that of ctx if it is done first.
func (l *Listener) await(ctx context.Context, cond func() bool) error {
	for !cond() {
		fired, stop := l.clock.Timer(shutdownPoll)
		select {
		case <-fired:
		case <-ctx.Done():
			stop()
			return ctx.Err()
		}
	}
	return nil
}

const (
	// acceptGrace is how long a shutdown waits for another connection in the queue of the listener.
	acceptGrace = 50 * time.Millisecond
	// lateAcceptGrace replaces acceptGrace once the time for new connections is over.
	lateAcceptGrace = time.Millisecond
	// shutdownPoll is the interval at which a shutdown checks for open connections.
	shutdownPoll = 5 * time.Millisecond
)

// beginClosing makes the open connections, and those accepted from now on, close once no request is pending on them.
func (l *Listener) beginClosing() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	for _, c := range l.open() {
		c.closeIfIdle()
	}
}

// open returns the open connections.
func (l *Listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// idle reports whether the listener accepts no further connections, and those that are open are left to the server, as it
// reads their requests itself.
func (l *Listener) idle() bool {
	return !l.accepting.Load() && !slices.ContainsFunc(l.open(), func(c *conn) bool { return !c.passesThrough() })
}

// isClosing reports whether connections close once no request is pending on them.
func (l *Listener) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// add registers an open connection.
func (l *Listener) add(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.Memory.Charge(tune.ConnMemory)
}

// remove removes a connection that is closed.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		l.Memory.Discharge(tune.ConnMemory)
	}
}

// loop accepts connections; each starts with one virtual connection. At the deadline that Shutdown sets, the listener stays
// open for the server, which otherwise would end.
func (l *Listener) loop() {
	defer l.accepting.Store(false)
	empty, late := 0, 0
	for {
		l.awaitRoom()
		raw, err := l.inner.Accept()
		if isTemporary(err) {
			l.makeRoom(err)
			l.wait(roomPoll)
			continue
		}
		if err != nil && l.isClosing() {
			// A call that begins after its deadline fails without a look at the queue.
			if empty++; empty < emptyAttempts && l.extendAccept(err) {
				continue
			}
			_ = l.inner.Close()
			return
		}
		if err == nil && l.isLate() {
			late++
		}
		if err != nil {
			_ = l.Close()
			return
		}
		empty = 0
		l.acceptCount.Add(1)
		c := newConn(l, raw)
		l.add(c)
		if !l.offer(c.newVirtualConn()) {
			l.remove(c)
			_ = raw.Close()
			return
		}
		go c.loop()
		if late >= maxLateAccepts {
			_ = l.inner.Close()
			return
		}
	}
}

// maxLateAccepts is how many connections a shutdown accepts after the time for new ones is over, while callers connect again as
// soon as they are refused. It is a usual length of the queue of a listener, which is thereby looked through.
const maxLateAccepts = 1024

// isLate reports whether a shutdown has begun and the time for new connections is over.
func (l *Listener) isLate() bool {
	until := l.admitUntil.Load()
	return until != nil && !l.clock.Now().Before(*until)
}

// emptyAttempts is the number of attempts in a row that must find no connection in the queue, or no data on a connection,
// before a shutdown takes it as empty. On a busy host the deadline of one may pass before it begins.
const emptyAttempts = 4

// extendAccept gives the listener some more time if err says that its deadline has passed, and reports whether it did.
func (l *Listener) extendAccept(err error) bool {
	grace := acceptGrace
	if l.isLate() {
		grace = lateAcceptGrace
	}
	d, ok := l.inner.(interface{ SetDeadline(time.Time) error })
	return ok && errors.Is(err, os.ErrDeadlineExceeded) && d.SetDeadline(l.clock.Now().Add(grace)) == nil
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
	if err := l.inner.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	// A shutdown has closed it before.
	return nil
}

// Addr returns the address that callers connect to.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }
