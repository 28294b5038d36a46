package intact_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/intact"
)

// scripted is a server that sends answer to each request and keeps its connections open; its loop method is a goroutine.
type scripted struct {
	listener net.Listener
	answer   string
	conns    atomic.Int64
}

func startScripted(answer string) *scripted {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	s := &scripted{listener: ln, answer: answer}
	go s.loop()
	return s
}

func (s *scripted) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		go (&scriptedConn{s, c}).run()
	}
}

type scriptedConn struct {
	server *scripted
	conn   net.Conn
}

func (p *scriptedConn) run() {
	defer func() { _ = p.conn.Close() }()
	in := bufio.NewReader(p.conn)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if _, err := io.WriteString(p.conn, p.server.answer); err != nil {
			return
		}
	}
}

// get makes a request and reads the response to its end.
func get(t http.RoundTripper, s *scripted) (*http.Response, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.listener.Addr().String(), nil)
	Expect(err).NotTo(HaveOccurred())
	res, err := t.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

// Guards against a response that a client of the store, of peers or of the platform takes for an answer although no recipient may.
var _ = Describe("A transport", func() {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, tc := range []struct {
		name, answer string
		// body is that of a sound response; "" if the response is refused.
		body string
	}{
		{"the status 000", "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok", ""},
		{"the status 000 without a body", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", ""},
		{"the status 099", "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		{"the status 101", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", ""},
		{"the status 600", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		{"the status 200", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"the status 299, of no name", "HTTP/1.1 299 \r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"a blank in a field name", "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 2\r\n\r\nok", ""},
		{"a blank in a field name without a body", "HTTP/1.1 204 No Content\r\nX A: 1\r\n\r\n", ""},
		{"a blank behind Content-Length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", ""},
		{"a blank in a field name of an informational response", "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\n" + ok, ""},
		{"a blank in the name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: 1\r\n\r\n", ""},
		{"too many informational responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", intact.MaxInformational+1) + ok, ""},
		{"as many informational responses as are allowed", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", intact.MaxInformational) + ok, "ok"},
		{"a folded line that looks like another field", "HTTP/1.1 200 OK\r\nX: 1\r\n X A : 2\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: 1\r\n\r\n", "ok"},
		{"the status 599", "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok", "ok"},
	} {
		It("takes only what may be an answer: "+tc.name, func() {
			s := startScripted(tc.answer)
			base := &http.Transport{}
			DeferCleanup(base.CloseIdleConnections)
			t := &intact.Transport{Base: base}
			for range 3 {
				_, body, err := get(t, s)
				if tc.body != "" {
					Expect(err).NotTo(HaveOccurred())
					Expect(body).To(Equal(tc.body))
				} else {
					Expect(err).To(MatchError(intact.ErrBroken))
				}
			}
			if tc.body != "" {
				Expect(s.conns.Load()).To(BeEquivalentTo(1))
			} else {
				Expect(s.conns.Load()).To(BeEquivalentTo(3), "a connection was used again after a broken response")
			}
		})
	}
})
