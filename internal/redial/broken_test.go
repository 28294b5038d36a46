package redial_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/intact"
	"github.com/balsamvale/balsamvale/internal/redial"
)

// rawServer sends answer to one request; its run method is a goroutine.
type rawServer struct {
	listener net.Listener
	answer   string
}

func (s *rawServer) run() {
	c, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.WriteString(c, s.answer)
	}
}

// Guards against a broken response of the store or of a peer that is taken for an answer.
var _ = Describe("A response that is no answer to any request", func() {
	for _, tc := range []struct{ name, answer string }{
		{"the status 000", "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok"},
		{"a blank in a field name", "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 2\r\n\r\nok"},
	} {
		It("is an error: "+tc.name, func() {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(ln.Close)
			go (&rawServer{ln, tc.answer}).run()
			req, err := http.NewRequest(http.MethodGet, "http://"+ln.Addr().String(), nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = redial.New(time.Second).RoundTrip(req)
			Expect(err).To(MatchError(intact.ErrBroken))
		})
	}
})
