package sender_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/sender"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// cuttingUpstream answers each call with the first bytes of a response, and closes the connection.
type cuttingUpstream struct {
	listener net.Listener
	// cuts passes the parts of the response to send.
	cuts chan string
}

func (u *cuttingUpstream) loop() {
	for part := range u.cuts {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, part)
		}
		_ = c.Close()
	}
}

// Guards against an answer whose upstream closes the connection in the middle of the head, passed on as a complete success
// with an empty or short body.
var _ = Describe("An answer that breaks off", func() {
	for _, tc := range []struct {
		name string
		// head and body are those of the complete response.
		head, body string
		// endsWithConn is set if the end of the connection is the regular end of the body.
		endsWithConn bool
	}{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Last: end\r\n\r\n", "hello, world", false},
		{"with the length at the end of the head", "HTTP/1.1 200 OK\r\nX-First: 1\r\nContent-Length: 12\r\n\r\n", "hello, world", false},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "c\r\nhello, world\r\n0\r\n\r\n", false},
		{"without a length", "HTTP/1.1 200 OK\r\nX-Last: end\r\n\r\n", "hello, world", true},
	} {
		It("is not a complete success: "+tc.name, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(l.Close)
			u := &cuttingUpstream{listener: l, cuts: make(chan string)}
			go u.loop()
			DeferCleanup(func() { close(u.cuts) })
			s := sender.New(clock.Wall(), header.Default())
			whole := tc.head + tc.body
			for n := range len(whole) {
				if tc.endsWithConn && n >= len(tc.head) {
					break
				}
				u.cuts <- whole[:n]
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				res, out := s.Send(ctx, &outreq.Request{
					Method: http.MethodPost, RequestURI: "/", Header: http.Header{}, Body: []byte("x"), Buffered: true,
					ID: "1", Addr: netip.MustParseAddrPort(l.Addr().String()), SentAt: time.Now(),
				})
				if res != nil {
					Expect(n).To(BeNumerically(">=", len(tc.head)), fmt.Sprintf("cut after %q", whole[:n]))
					var got strings.Builder
					_, err := io.Copy(&got, res.Body)
					Expect(err).To(HaveOccurred(), fmt.Sprintf("cut after %q: body %q", whole[:n], got.String()))
					_ = res.Body.Close()
				} else {
					Expect(out.Cause).NotTo(Equal(cause.None))
				}
				cancel()
			}
		})
	}
})
