package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/sender"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// skewedClock is the wall clock plus an offset that tests advance.
type skewedClock struct {
	clock.Clock
	mu   sync.Mutex
	skew time.Duration
}

func (s *skewedClock) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock.Now().Add(s.skew)
}

func (s *skewedClock) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skew += d
}

// upstream answers the first answersPerConn calls on each connection and none after them.
type upstream struct {
	listener       net.Listener
	answersPerConn int
	mu             sync.Mutex
	conns          int
	calls          int
}

func (u *upstream) loop() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns++
		u.mu.Unlock()
		go (&upstreamConn{u, c}).loop()
	}
}

type upstreamConn struct {
	upstream *upstream
	conn     net.Conn
}

func (p *upstreamConn) loop() {
	in := bufio.NewReader(p.conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		p.upstream.mu.Lock()
		p.upstream.calls++
		p.upstream.mu.Unlock()
		if n < p.upstream.answersPerConn {
			_, _ = io.WriteString(p.conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

var _ = Describe("Send", func() {
	for _, tc := range []struct {
		name       string
		idempotent bool
		buffered   bool
		idle       time.Duration
		cause      cause.Cause
		conns      int
	}{
		{"reuses a connection proven live for a call that is not idempotent", false, true, 0, cause.Timeout, 1},
		{"opens a new connection if the proof is too old", false, true, 2 * tune.ConnProvenAge, cause.None, 2},
		{"always opens a new connection for a streamed call that is not idempotent", false, false, 0, cause.None, 2},
		{"reuses a connection not proven live for an idempotent call", true, true, 2 * tune.ConnProvenAge, cause.Timeout, 1},
	} {
		It(tc.name, func() {
			on, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			u := &upstream{listener: on, answersPerConn: 1}
			go u.loop()
			DeferCleanup(on.Close)
			cl := &skewedClock{Clock: clock.Wall()}
			s := sender.New(cl, header.Default())
			send := func(idempotent, buffered bool) (*http.Response, cause.Cause) {
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				DeferCleanup(cancel)
				r := &outreq.Request{
					Method: http.MethodPost, RequestURI: "/", Header: http.Header{}, Body: []byte("x"), Buffered: buffered,
					ID: "1", Idempotent: idempotent, Addr: netip.MustParseAddrPort(on.Addr().String()), SentAt: cl.Now(),
				}
				if !buffered {
					r.Stream, r.StreamLength = http.NoBody, 0
				}
				res, out := s.Send(ctx, r)
				return res, out.Cause
			}
			res, _ := send(true, true)
			_, err = io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			_ = res.Body.Close()
			cl.advance(tc.idle)
			_, got := send(tc.idempotent, tc.buffered)
			Expect(got).To(Equal(tc.cause))
			u.mu.Lock()
			defer u.mu.Unlock()
			Expect(u.conns).To(Equal(tc.conns))
			Expect(u.calls).To(Equal(2))
		})
	}

	// Failure: an upstream without room for a call never answers it, nor anything after it on its connection.
	for _, tc := range []struct {
		name   string
		method string
		probe  bool
	}{
		{"call", http.MethodGet, false},
		{"call of another method", http.MethodPost, false},
		{"probe", http.MethodGet, true},
	} {
		It("does not use the connection of a call without an answer again, for a "+tc.name, func() {
			on, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			u := &upstream{listener: on, answersPerConn: 1}
			go u.loop()
			DeferCleanup(on.Close)
			s := sender.New(clock.Wall(), header.Default())
			addr := netip.MustParseAddrPort(on.Addr().String())
			send := func(method string) cause.Cause {
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				defer cancel()
				res, out := s.Send(ctx, &outreq.Request{
					Method: method, RequestURI: "/", Header: http.Header{}, Buffered: true, ID: "1", Idempotent: true, Addr: addr, SentAt: time.Now(),
				})
				if res != nil {
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
				return out.Cause
			}
			Expect(send(http.MethodGet)).To(Equal(cause.None))
			Expect(send(http.MethodGet)).To(Equal(cause.Timeout))
			if tc.probe {
				Expect(s.Probe(context.Background(), "", addr, "/load").Cause).To(Equal(cause.None))
			} else {
				Expect(send(tc.method)).To(Equal(cause.None))
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			Expect(u.conns).To(Equal(2))
		})
	}

	It("reports a failed dial when nothing listens on the address", func() {
		on, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr := netip.MustParseAddrPort(on.Addr().String())
		_ = on.Close()
		_, out := sender.New(clock.Wall(), header.Default()).Send(context.Background(), &outreq.Request{
			Method: http.MethodGet, RequestURI: "/", Header: http.Header{}, Buffered: true, Addr: addr, SentAt: time.Now(),
		})
		Expect(out.Cause).To(Equal(cause.DialFailed))
		Expect(out.MayHaveRun()).To(BeFalse())
	})
})
