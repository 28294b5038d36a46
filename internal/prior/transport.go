package prior

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/redial"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// errOldPeer is the error of a request that cannot be repeated over HTTP/1.1.
var errOldPeer = eris.New("the peer speaks HTTP/1.1 only")

// Transport is an http.RoundTripper that keeps one HTTP/2 connection to each host, on which repeated headers take next to nothing.
// Hosts that answer in HTTP/1.1, because their build is older, get HTTP/1.1 for a minute.
//
// A connection on which nothing arrives until a request fails is closed, so that the next request does not wait for it as well.
// It is safe for concurrent use.
type Transport struct {
	// Dial opens the connections. It may be replaced before the first request, by a function that calls the previous one.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	clock    clock.Clock
	http1    *redial.Transport
	http2    *redial.Transport
	mu       sync.Mutex
	oldUntil map[string]time.Time
}

// oldPeerTime is how long a host gets HTTP/1.1 after it has answered so. The build of a peer changes with its restart.
const oldPeerTime = time.Minute

// New returns a transport that closes connections after they were idle for the given time.
func New(c clock.Clock, idle time.Duration) *Transport {
	t := &Transport{clock: c, http1: redial.New(idle), http2: redial.NewHTTP2(idle), oldUntil: map[string]time.Time{}}
	t.Dial = t.http1.Dial
	t.http1.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) { return t.Dial(ctx, network, addr) }
	t.http2.Dial = t.dialHTTP2
	return t
}

func (t *Transport) dialHTTP2(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := t.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, clock: t.clock, isOld: func() { t.setOld(addr) }, answered: make(chan struct{})}, nil
}

// setOld records that a host has answered in HTTP/1.1.
func (t *Transport) setOld(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.oldUntil[addr] = t.clock.Now().Add(oldPeerTime)
}

// old reports whether a host is known to speak HTTP/1.1 only.
func (t *Transport) old(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.oldUntil[addr]
	if ok && !t.clock.Now().Before(until) {
		delete(t.oldUntil, addr)
		return false
	}
	return ok
}

// RoundTrip makes a request; errors are those of http.Transport.
//
// A request that a host could not read, since it speaks HTTP/1.1 only, is made again over HTTP/1.1.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.old(r.URL.Host) {
		return t.http1.RoundTrip(r)
	}
	use := &usage{}
	res, err := t.http2.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: use.begin})))
	if err == nil {
		res.Body = &body{res.Body, use}
		return res, nil
	}
	if !t.old(r.URL.Host) {
		use.failed()
		return nil, err
	}
	again := r.Clone(r.Context())
	if r.Body != nil && r.Body != http.NoBody {
		if r.GetBody == nil {
			return nil, eris.Wrap(errOldPeer, err.Error())
		}
		if again.Body, err = r.GetBody(); err != nil {
			return nil, err
		}
	}
	return t.http1.RoundTrip(again)
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.http1.CloseIdleConnections()
	t.http2.CloseIdleConnections()
}

// usage is the use of a connection by one request.
type usage struct {
	mu   sync.Mutex
	conn net.Conn
	// reads is the number of reads that had returned data when the request last made progress.
	reads uint64
}

func (u *usage) begin(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn = info.Conn
	u.reads = readsOf(info.Conn)
}

// progress records that the request has made progress.
func (u *usage) progress() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reads = readsOf(u.conn)
}

// failed closes the connection if nothing has arrived on it since the request last made progress.
func (u *usage) failed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil && readsOf(u.conn) == u.reads {
		_ = u.conn.Close()
	}
}

// readsOf returns the number of reads of a connection that have returned data.
func readsOf(c net.Conn) uint64 {
	if c, ok := c.(*conn); ok {
		return c.reads.Load()
	}
	return 0
}

// body is the body of a response over HTTP/2.
type body struct {
	io.ReadCloser
	usage *usage
}

// Read reads from the body; errors are those of http.Transport.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err != nil && err != io.EOF:
		b.usage.failed()
	case n > 0:
		b.usage.progress()
	}
	return n, err
}

// conn is a connection that begins with the preface of HTTP/2.
type conn struct {
	net.Conn
	// isOld is called when the answer turns out to be one of HTTP/1.1.
	isOld func()
	// begin has the first bytes of the answer; only the goroutine that reads uses it.
	begin []byte
	// answered is closed once the protocol of the answer is known, or the connection has ended before.
	answered chan struct{}
	once     sync.Once
	clock    clock.Clock
	reads    atomic.Uint64
}

// answerWait is how long a failed write waits for the answer that the peer may have sent before it closed the connection. It has crossed
// the network by then.
const answerWait = 100 * time.Millisecond

// statusLine is how an answer of HTTP/1.1 begins. The first frame of HTTP/2 cannot begin so: its type would not be that of a
// SETTINGS frame.
var statusLine = []byte("HTTP/1.")

// NetConn returns the connection that Dial has opened.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection; errors are those of the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	if missing := len(statusLine) - len(c.begin); missing > 0 && n > 0 {
		c.begin = append(c.begin, p[:min(n, missing)]...)
		if bytes.Equal(c.begin, statusLine) {
			c.isOld()
		}
	}
	if len(c.begin) == len(statusLine) || err != nil {
		c.once.Do(func() { close(c.answered) })
	}
	return n, err
}

// Write writes to the connection; errors are those of the connection.
//
// A peer of an older build answers the preface and closes the connection, perhaps before it is sent a request. The error then waits
// until the answer is read, since net/http closes the connection at once.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		t, stop := c.clock.Timer(answerWait)
		defer stop()
		select {
		case <-c.answered:
		case <-t:
		}
	}
	return n, err
}
