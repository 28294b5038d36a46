package redial_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/redial"
)

// earlyServer answers a request before it has read its body, reads on for a moment and then does what end does; its run method is
// a goroutine.
type earlyServer struct {
	listener net.Listener
	end      func(c *net.TCPConn)
}

func (s *earlyServer) run() {
	c, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
	time.AfterFunc(2*time.Millisecond, func() { s.end(c.(*net.TCPConn)) })
	_, _ = io.Copy(io.Discard, in)
}

// Guards against a part of a response that looks complete, as a watch or digest: the server reset the connection while the request was
// still being sent.
var _ = Describe("A response without a length that comes while the request is sent", func() {
	const rounds, size = 20, 16 << 20
	for _, tc := range []struct {
		name  string
		end   func(c *net.TCPConn)
		whole bool
	}{
		{"is not complete if the connection is reset", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, false},
		{"is complete if it ends in order", func(c *net.TCPConn) { _ = c.CloseWrite() }, true},
	} {
		It(tc.name, func() {
			for range rounds {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				Expect(err).NotTo(HaveOccurred())
				go (&earlyServer{ln, tc.end}).run()
				t := redial.New(time.Second)
				req, err := http.NewRequest(http.MethodPost, "http://"+ln.Addr().String(), io.MultiReader(bytes.NewReader(make([]byte, size))))
				Expect(err).NotTo(HaveOccurred())
				res, err := t.RoundTrip(req)
				if err == nil {
					var data []byte
					data, err = io.ReadAll(res.Body)
					_ = res.Body.Close()
					if tc.whole {
						Expect(string(data)).To(Equal("part"))
					}
				}
				Expect(err == nil).To(Equal(tc.whole), "%v", err)
				_ = ln.Close()
			}
		})
	}
})
