package meter

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsamvale/balsamvale/pkg/events/xkind"
)

// Meter counts the bytes of connections between entries, headers and framing included, by the kind of request, the direction and
// whether the peer is in another failure domain; it is safe for concurrent use.
//
// Of several requests that share a connection at the same time, the bytes count as of the latest; the sum is exact.
type Meter struct {
	counters [xkind.Status + 1][directions][scopes]*metrics.Counter
}

const (
	sent = iota
	received
	directions
)

const (
	local = iota
	remote
	scopes
)

// New returns a meter whose counters are in set.
func New(set *metrics.Set) *Meter {
	m := &Meter{}
	for kind := range m.counters {
		for direction, d := range [directions]string{"sent", "received"} {
			for scope, s := range [scopes]string{"local", "remote"} {
				m.counters[kind][direction][scope] = set.NewCounter(fmt.Sprintf(`balsamvale_peer_bytes_total{topic=%q,direction=%q,domain=%q}`, xkind.Kind(kind), d, s))
			}
		}
	}
	return m
}

// Total returns the number of bytes sent and received so far, and how many of them were exchanged with other failure domains.
func (m *Meter) Total() (all, remoteOnly uint64) {
	for kind := range m.counters {
		for direction := range m.counters[kind] {
			all += m.counters[kind][direction][local].Get() + m.counters[kind][direction][remote].Get()
			remoteOnly += m.counters[kind][direction][remote].Get()
		}
	}
	return all, remoteOnly
}

// Dialer returns a function that opens connections by dial and counts their bytes.
func (m *Meter) Dialer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, meter: m}, nil
	}
}

// Begin returns a context for a request to a peer. The bytes of the connection that the request gets count as of its kind from
// then on.
func (m *Meter) Begin(ctx context.Context, kind xkind.Kind, toRemote bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c := find(info.Conn); c != nil {
			c.assign(kind, toRemote)
		}
	}})
}

// Listener returns a listener that counts the bytes of the connections that ln accepts.
func (m *Meter) Listener(ln net.Listener) net.Listener { return &listener{ln, m} }

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext is the ConnContext of an http.Server whose requests are passed to Received.
func (m *Meter) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Received records of what kind the request is that a server has read, by the context of the request. What was received before
// counts as of this kind, and so does the answer.
func (m *Meter) Received(ctx context.Context, kind xkind.Kind, fromRemote bool) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.assign(kind, fromRemote)
	}
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	meter *Meter
}

// Accept returns the next connection; errors are those of the listener that it wraps.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, meter: l.meter, accepted: true}, nil
}

// conn counts the bytes of a connection.
type conn struct {
	net.Conn
	meter *Meter
	// accepted is set at the server. Its requests are read before their kind is known, so that what was read waits in unassigned.
	accepted bool
	// mu guards the fields below.
	mu    sync.Mutex
	kind  xkind.Kind
	scope int
	// unassigned is the number of bytes received that belong to a request whose kind is not known.
	unassigned atomic.Int64
}

// find returns the connection that c is or wraps, or nil. A wrapper has the method NetConn, as that of crypto/tls.
func find(c net.Conn) *conn {
	for {
		switch wrapper := c.(type) {
		case *conn:
			return wrapper
		case interface{ NetConn() net.Conn }:
			c = wrapper.NetConn()
		default:
			return nil
		}
	}
}

// assign sets the kind of what the connection carries from now on, and of what it has received since the previous request.
func (c *conn) assign(kind xkind.Kind, toRemote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kind, c.scope = kind, local
	if toRemote {
		c.scope = remote
	}
	c.settle()
}

// settle counts the bytes that wait for the kind of their request.
func (c *conn) settle() { c.meter.counters[c.kind][received][c.scope].Add(int(c.unassigned.Swap(0))) }

// count counts bytes of the current kind.
func (c *conn) count(direction, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meter.counters[c.kind][direction][c.scope].Add(n)
}

// Read reads from the connection; errors are those of the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.accepted {
		c.unassigned.Add(int64(n))
	} else {
		c.count(received, n)
	}
	return n, err
}

// Write writes to the connection; errors are those of the connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(sent, n)
	return n, err
}

// Close closes the connection; errors are those of the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	c.settle()
	c.mu.Unlock()
	return c.Conn.Close()
}
