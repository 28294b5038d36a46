package prior_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/internal/prior"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
)

// peer is a server that may go silent: what arrives on its open connections is then lost, and so is what it sends.
type peer struct {
	*httptest.Server
	opened, requests atomic.Int64
	silent           atomic.Int64
	// hasty is set if the peer closes a connection with its answer to the preface of HTTP/2.
	hasty atomic.Bool
}

// newPeer starts a peer that echoes requests and names their protocol.
func newPeer(http2 bool) *peer {
	p := &peer{}
	p.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "PRI" { // the preface of HTTP/2, which the mux of an entry refuses
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.requests.Add(1)
		_, _ = io.WriteString(w, r.Proto+" ")
		_, _ = io.Copy(w, r.Body)
	}))
	p.Config.Protocols = &http.Protocols{}
	p.Config.Protocols.SetHTTP1(true)
	p.Config.Protocols.SetUnencryptedHTTP2(http2)
	p.Listener = &peerListener{p.Listener, p}
	p.Start()
	return p
}

// peerListener numbers the connections that it accepts.
type peerListener struct {
	net.Listener
	peer *peer
}

func (l *peerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &peerConn{c, l.peer, l.peer.opened.Add(1)}, nil
}

// peerConn loses what arrives and is sent once the peer has gone silent, if it is older.
type peerConn struct {
	net.Conn
	peer   *peer
	number int64
}

func (c *peerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if c.peer.hasty.Load() && strings.HasPrefix(string(b[:n]), "PRI ") {
			_, _ = io.WriteString(c.Conn, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n")
			_ = c.Conn.Close()
			return 0, io.EOF
		}
		if err != nil || c.number > c.peer.silent.Load() {
			return n, err
		}
	}
}

func (c *peerConn) Write(b []byte) (int, error) {
	if c.number <= c.peer.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// post sends a body and returns the answer.
func post(t http.RoundTripper, url, body string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	res, err := t.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

var _ = Describe("The transport to peers", func() {
	const timeout = 200 * time.Millisecond

	// Guards against a fleet of two builds whose entries do not understand each other, or count evidence twice.
	for _, tc := range []struct {
		name  string
		http2 bool
		proto string
	}{
		{"speaks HTTP/2 on one connection", true, "HTTP/2.0"},
		{"falls back to HTTP/1.1 for an older build, which sees each request once", false, "HTTP/1.1"},
	} {
		It(tc.name, func() {
			p := newPeer(tc.http2)
			DeferCleanup(p.Close)
			t := prior.New(clock.Wall(), time.Minute)
			DeferCleanup(t.CloseIdleConnections)
			for i := range 5 {
				body := fmt.Sprint("digest ", i)
				Expect(post(t, p.URL, body, 5*time.Second)).To(Equal(tc.proto + " " + body))
			}
			Expect(p.requests.Load()).To(Equal(int64(5)))
			conns := int64(1)
			if !tc.http2 {
				conns++ // the one on which HTTP/2 was tried
			}
			Expect(p.opened.Load()).To(Equal(conns))
		})
	}

	// Guards against a request that is lost since the older build closes the connection before it is written.
	It("falls back to HTTP/1.1 for a peer that answers the preface and closes the connection at once", func() {
		p := newPeer(false)
		DeferCleanup(p.Close)
		p.hasty.Store(true)
		for range 300 {
			t := prior.New(clock.Wall(), time.Minute)
			Expect(post(t, p.URL, "a", 5*time.Second)).To(Equal("HTTP/1.1 a"))
			t.CloseIdleConnections()
		}
		Expect(p.requests.Load()).To(Equal(int64(300)))
	})

	// Guards against exchanges that time out one after the other on a connection that many requests share.
	It("does not use a silent connection after the first request without an answer", func() {
		p := newPeer(true)
		DeferCleanup(p.Close)
		t := prior.New(clock.Wall(), time.Minute)
		DeferCleanup(t.CloseIdleConnections)
		Expect(post(t, p.URL, "a", 5*time.Second)).To(Equal("HTTP/2.0 a"))
		p.silent.Store(p.opened.Load())
		_, err := post(t, p.URL, "b", timeout)
		Expect(err).To(HaveOccurred())
		for range 3 {
			Expect(post(t, p.URL, "c", 5*time.Second)).To(Equal("HTTP/2.0 c"))
		}
		Expect(p.opened.Load()).To(Equal(int64(2)))
	})
})

// BenchmarkExchange measures the processor time of an exchange with nothing to say, at both sides together.
func BenchmarkExchange(b *testing.B) {
	for _, http2 := range []bool{false, true} {
		b.Run(fmt.Sprint("http2=", http2), func(b *testing.B) {
			t := prior.New(clock.Wall(), time.Minute)
			s := peers.New(clock.Wall(), &http.Client{Transport: t})
			s.Submit = func(context.Context, event.Event) (effect.Effect, error) {
				return effect.Effect{Digest: digest.Digest{From: "entry-02", Revision: 1234, Matched: proof.FromAge(time.Now(), time.Second)}}, nil
			}
			mux := http.NewServeMux()
			mux.Handle(s.Handler())
			srv := httptest.NewUnstartedServer(mux)
			srv.Config.Protocols = &http.Protocols{}
			srv.Config.Protocols.SetHTTP1(true)
			srv.Config.Protocols.SetUnencryptedHTTP2(http2)
			srv.Start()
			defer srv.Close()
			e := &effect.Effect{Addr: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), Digest: digest.Digest{From: "entry-01", Revision: 1234, Matched: proof.FromAge(time.Now(), time.Second), Brief: true}}
			for b.Loop() {
				if _, err := s.SendDigest(context.Background(), e); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
