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
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// lateUpstream answers each request with its ID as the body. Before its answer to the second request of the first
// connection, it sends extra.
type lateUpstream struct {
	listener net.Listener
	extra    string
	mu       sync.Mutex
	conns    int
	runs     map[string]int
	// onFirst lists the requests on the first connection.
	onFirst []string
}

func (u *lateUpstream) loop() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns++
		first := u.conns == 1
		u.mu.Unlock()
		go (&lateConn{u, c, first}).loop()
	}
}

type lateConn struct {
	upstream *lateUpstream
	conn     net.Conn
	first    bool
}

func (p *lateConn) loop() {
	defer func() { _ = p.conn.Close() }()
	in := bufio.NewReader(p.conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(wire.AttemptID)
		p.upstream.mu.Lock()
		p.upstream.runs[id]++
		if p.first {
			p.upstream.onFirst = append(p.upstream.onFirst, id)
		}
		p.upstream.mu.Unlock()
		if n == 1 && p.first {
			_, _ = io.WriteString(p.conn, p.upstream.extra)
		}
		_, _ = io.WriteString(p.conn, "HTTP/1.1 200 OK\r\n"+wire.AttemptID+": "+id+"\r\nContent-Length: 1\r\n\r\n"+id)
	}
}

// A second copy of an answer, whole or in part, may arrive when its connection has just been handed to the next call.
var _ = Describe("A second copy of an answer", func() {
	const copied = "HTTP/1.1 200 OK\r\n" + wire.AttemptID + ": 1\r\nContent-Length: 1\r\n\r\n1"
	for _, tc := range []struct {
		name  string
		extra string
	}{
		{"whole", copied},
		{"whole and without a body", "HTTP/1.1 204 No Content\r\n" + wire.AttemptID + ": 1\r\n\r\n"},
		{"whole and empty", "HTTP/1.1 200 OK\r\n" + wire.AttemptID + ": 1\r\nContent-Length: 0\r\n\r\n"},
		{"twice", copied + copied},
		{"cut in its status line", copied[:14]},
		{"cut in the reason of its status line", copied[:15]},
		{"cut in a failure's status line", "HTTP/1.1 500 I"},
		{"cut after its status line", copied[:17]},
		{"cut in its ID", copied[:17+len(wire.AttemptID)+1]},
		{"cut after its ID", copied[:17+len(wire.AttemptID)+5]},
		{"cut in its length", copied[:len(copied)-6]},
		{"cut before its body", copied[:len(copied)-1]},
		{"of which only the body arrives", "1"},
	} {
		for _, idempotent := range []bool{false, true} {
			It("never becomes the answer to another call: "+tc.name, func() {
				on, err := net.Listen("tcp", "127.0.0.1:0")
				Expect(err).NotTo(HaveOccurred())
				u := &lateUpstream{listener: on, extra: tc.extra, runs: map[string]int{}}
				go u.loop()
				DeferCleanup(on.Close)
				s := sender.New(clock.Wall(), header.Default())
				for i, id := range []string{"1", "2", "3", "4"} {
					ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
					res, out := s.Send(ctx, &outreq.Request{
						Method: http.MethodPost, RequestURI: "/", Header: http.Header{wire.AttemptID: {id}}, Body: []byte("x"), Buffered: true,
						ID: id, Idempotent: idempotent, Addr: netip.MustParseAddrPort(on.Addr().String()), SentAt: time.Now(),
					})
					if i == 1 {
						Expect(res).To(BeNil(), "an answer from a connection out of step: %v", out.Cause)
						Expect(out.MayHaveRun()).To(BeTrue())
						cancel()
						continue
					}
					Expect(out.Cause).To(Equal(cause.None), "call %s", id)
					body, err := io.ReadAll(res.Body)
					Expect(err).NotTo(HaveOccurred())
					Expect(string(body)).To(Equal(id))
					_ = res.Body.Close()
					cancel()
				}
				u.mu.Lock()
				defer u.mu.Unlock()
				Expect(u.runs).To(Equal(map[string]int{"1": 1, "2": 1, "3": 1, "4": 1}))
				Expect(u.onFirst).To(Equal([]string{"1", "2"}), "the connection out of step is not used again")
			})
		}
	}
})
