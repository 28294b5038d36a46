package redial

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/balsamvale/balsamvale/internal/intact"
	"github.com/balsamvale/balsamvale/internal/resets"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Transport is an http.RoundTripper that keeps idle connections for a limited time, and closes all of them after a request
// without a response: they may have gone silent together, and each would cost the next request its whole timeout.
//
// It is safe for concurrent use.
type Transport struct {
	// Dial opens the connections. It may be replaced before the first request.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	base *http.Transport
}

// New returns a transport that closes connections after they were idle for the given time.
func New(idle time.Duration) *Transport {
	d := &net.Dialer{
		Timeout: tune.DialTimeout,
		// Keep-alive probes detect a connection that has gone silent while a watch waits on it.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: tune.KeepAliveIdle, Interval: tune.KeepAliveInterval, Count: tune.KeepAliveCount},
	}
	t := &Transport{Dial: resets.DialContext(d)}
	t.base = &http.Transport{DialContext: t.dial, MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idle, MaxResponseHeaderBytes: maxHeadBytes}
	return t
}

// NewHTTP2 returns a transport like New that speaks HTTP/2 without TLS only. Requests to a host share a connection.
func NewHTTP2(idle time.Duration) *Transport {
	t := New(idle)
	t.base.Protocols = &http.Protocols{}
	t.base.Protocols.SetUnencryptedHTTP2(true)
	t.base.HTTP2 = &http.HTTP2Config{MaxReceiveBufferPerStream: streamBuffer, MaxReceiveBufferPerConnection: connBuffer}
	return t
}

func (t *Transport) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return t.Dial(ctx, network, addr)
}

const (
	// maxIdleConns is the number of idle connections that are kept.
	maxIdleConns = 100
	// maxIdlePerHost is the number of idle connections to one host that are kept: in the case of the store, one for watches
	// and one for writes.
	maxIdlePerHost = 2
	// maxHeadBytes is the maximum size of the head of a response in bytes. Without it, net/http reads 10 MiB of a head that does not end.
	maxHeadBytes = 64 << 10
	// streamBuffer and connBuffer bound the bytes of responses that are on their way. A small response behind a large one of the
	// same connection would otherwise come later than the time limit of its request, on a slow link.
	streamBuffer = 256 << 10
	connBuffer   = 512 << 10
)

// RoundTrip makes a request; errors are those of http.Transport, or match intact.ErrBroken.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := (&intact.Transport{Base: t.base}).RoundTrip(r)
	if err != nil {
		t.base.CloseIdleConnections()
	}
	return res, err
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
