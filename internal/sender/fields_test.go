package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/intact"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/sender"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// repeatingUpstream sends answer to each request and keeps its connections open; its loop method is a goroutine.
type repeatingUpstream struct {
	listener net.Listener
	answer   string
	conns    atomic.Int64
}

func startRepeating(answer string) *repeatingUpstream {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(on.Close)
	u := &repeatingUpstream{listener: on, answer: answer}
	go u.loop()
	return u
}

func (u *repeatingUpstream) addr() netip.AddrPort {
	return netip.MustParseAddrPort(u.listener.Addr().String())
}

func (u *repeatingUpstream) loop() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.conns.Add(1)
		go (&repeatingConn{u, c}).run()
	}
}

type repeatingConn struct {
	upstream *repeatingUpstream
	conn     net.Conn
}

func (p *repeatingConn) run() {
	defer func() { _ = p.conn.Close() }()
	in := bufio.NewReader(p.conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if _, err := io.WriteString(p.conn, p.upstream.answer); err != nil {
			return
		}
	}
}

// Guards against a response whose head has a field name with a blank or a control character: net/http accepts blanks, and a length or
// encoding under such a name does not frame the body.
var _ = Describe("A response with a field name that HTTP does not allow", func() {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, tc := range []struct {
		name, answer string
		// trailers is set if the head is sound.
		trailers bool
	}{
		{"a blank before the colon", ok + "X-A : 1\r\nContent-Length: 2\r\n\r\nok", false},
		{"a blank within the name", ok + "X A: 1\r\nContent-Length: 2\r\n\r\nok", false},
		{"a blank in a response without a body", "HTTP/1.1 204 No Content\r\nX A: 1\r\n\r\n", false},
		{"a blank behind Content-Length", ok + "Content-Length : 2\r\n\r\nok", false},
		{"a blank behind Transfer-Encoding", ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"a blank behind Connection", ok + "Connection : close\r\nContent-Length: 2\r\n\r\nok", false},
		{"a tab before the colon", ok + "X-A\t: 1\r\nContent-Length: 2\r\n\r\nok", false},
		{"NUL", ok + "X\x00A: 1\r\nContent-Length: 2\r\n\r\nok", false},
		{"a control character", ok + "X\x01A: 1\r\nContent-Length: 2\r\n\r\nok", false},
		{"DEL", ok + "X\x7fA: 1\r\nContent-Length: 2\r\n\r\nok", false},
		{"a vertical tab", ok + "X\vA: 1\r\nContent-Length: 2\r\n\r\nok", false},
		{"a carriage return", ok + "X\rA: 1\r\nContent-Length: 2\r\n\r\nok", false},
		{"no characters", ok + ": 1\r\nContent-Length: 2\r\n\r\nok", false},
		{"a blank before the first name", ok + " X-A: 1\r\nContent-Length: 2\r\n\r\nok", false},
		{"a blank in an informational response", "HTTP/1.1 103 Early Hints\r\nLink : </a>\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", false},
		{"a blank in a response that asks to continue", "HTTP/1.1 100 Continue\r\nX A: 1\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", false},
		{"a blank in a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: 1\r\n\r\n", true},
		{"a blank in a trailer beside an announced one", ok + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\nX-A : 1\r\n\r\n", true},
		{"a control character in a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\x01A: 1\r\n\r\n", true},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			It("is no answer to a call, and its connection is not used again: "+method+", "+tc.name, func() {
				u := startRepeating(tc.answer)
				s := sender.New(clock.Wall(), header.Default())
				DeferCleanup(s.CloseIdle)
				var passedOn atomic.Int64
				for n := range int64(3) {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					res, out := s.Send(ctx, &outreq.Request{
						Method: method, RequestURI: "/", Header: http.Header{}, Buffered: true, ID: "1", Idempotent: method == http.MethodGet,
						Addr: u.addr(), SentAt: time.Now(), OnInformational: func(int, http.Header) { passedOn.Add(1) },
					})
					if tc.trailers {
						Expect(out.Cause).To(Equal(cause.None))
						_, err := io.ReadAll(res.Body)
						Expect(err).To(HaveOccurred())
						Expect(intact.BodyCause(err)).To(BeElementOf(cause.Invalid, cause.ConnBroken))
						_ = res.Body.Close()
					} else {
						Expect(res).To(BeNil())
						Expect(out.Cause).To(BeElementOf(cause.Invalid, cause.ConnBroken))
						Expect(out.MayHaveRun()).To(BeTrue())
					}
					cancel()
					Expect(passedOn.Load()).To(BeZero())
					Expect(u.conns.Load()).To(Equal(n + 1))
				}
			})
		}

		It("is no answer to a probe: "+tc.name, func() {
			u := startRepeating(tc.answer)
			out := sender.New(clock.Wall(), header.Default()).Probe(context.Background(), "u", u.addr(), "/load")
			Expect(out.Cause).To(BeElementOf(cause.Invalid, cause.ConnBroken))
			Expect(out.Report).To(BeNil())
		})
	}
})

// Guards against sound responses that are refused for a form that RFC 9112 has a recipient accept.
var _ = Describe("A response with fields of an unusual form", func() {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, tc := range []struct {
		name, answer, field, value string
	}{
		{"a folded line", ok + "X-A: 1\r\n 2\r\nContent-Length: 2\r\n\r\nok", "X-A", "1 2"},
		{"a folded line that looks like another field", ok + "X-A: 1\r\n\tX B : 2\r\nContent-Length: 2\r\n\r\nok", "X-A", "1 X B : 2"},
		{"a folded line with a length", ok + "X-A: 1\r\n Content-Length : 7\r\nContent-Length: 2\r\n\r\nok", "X-A", "1 Content-Length : 7"},
		{"a value with blanks and colons", ok + "X-A: 1 : 2 :\r\nContent-Length: 2\r\n\r\nok", "X-A", "1 : 2 :"},
		{"a value of bytes beyond ASCII", ok + "X-A: \xe9\xff\r\nContent-Length: 2\r\n\r\nok", "X-A", "\xe9\xff"},
		{"no value", ok + "X-A:\r\nContent-Length: 2\r\n\r\nok", "X-A", ""},
		{"blanks around the value", ok + "X-A: \t 1 \t\r\nContent-Length:2\r\n\r\nok", "X-A", "1"},
		{"each character of a token", ok + "!#$%&'*+-.^_`|~9a: 1\r\nContent-Length: 2\r\n\r\nok", "!#$%&'*+-.^_`|~9a", "1"},
		{"line feeds alone", "HTTP/1.1 200 OK\nX-A: 1\nContent-Length: 2\n\nok", "X-A", "1"},
		{"an informational response before it", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + "X-A: 1\r\nContent-Length: 2\r\n\r\nok", "X-A", "1"},
		{"trailers", ok + "X-A: 1\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n 2\r\n\r\n", "X-A", "1"},
		{"an announced trailer that does not come", ok + "X-A: 1\r\nTrailer: X-Sum, X Y\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "X-A", "1"},
	} {
		It("is an answer: "+tc.name, func() {
			u := startRepeating(tc.answer)
			s := sender.New(clock.Wall(), header.Default())
			DeferCleanup(s.CloseIdle)
			for range 3 {
				res, out := s.Send(context.Background(), &outreq.Request{
					Method: http.MethodPost, RequestURI: "/", Header: http.Header{}, Body: []byte("x"), Buffered: true, ID: "1",
					Addr: u.addr(), SentAt: time.Now(),
				})
				Expect(out.Cause).To(Equal(cause.None))
				Expect(res.Header[tc.field]).To(Equal([]string{tc.value}))
				body, err := io.ReadAll(res.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(string(body)).To(Equal("ok"))
				Expect(res.Body.Close()).To(Succeed())
			}
			Expect(u.conns.Load()).To(BeEquivalentTo(1))
		})
	}
})
