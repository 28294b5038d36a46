package proxy_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// earlyUpstream answers each upload at once and reads on. After a pause, it does what end does; its loop method is a goroutine.
type earlyUpstream struct {
	listener net.Listener
	answer   string
	pause    time.Duration
	end      func(c net.Conn)
}

func (u *earlyUpstream) loop() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go (&earlyConn{u, c}).run()
	}
}

type earlyConn struct {
	upstream *earlyUpstream
	conn     net.Conn
}

func (p *earlyConn) run() {
	in := bufio.NewReader(p.conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			_ = p.conn.Close()
			return
		}
		if req.Method == http.MethodGet {
			_, _ = io.WriteString(p.conn, okEmpty)
			continue
		}
		_, _ = io.WriteString(p.conn, p.upstream.answer)
		time.AfterFunc(p.upstream.pause, func() { p.upstream.end(p.conn) })
		// The request may end before the pause does, and the connection must not.
		_, _ = io.Copy(io.Discard, in)
		return
	}
}

// closeSending closes the sending side of a connection.
func closeSending(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }

// Guards against a part of an answer that reached the caller as a complete one: the upstream answered an upload at once, without a
// length, and reset the connection while the upload was still being sent.
var _ = Describe("An answer that comes while an upload is sent", func() {
	const rounds = 10
	short, long := "part", strings.Repeat("x", 2*tune.MaxBufferedResponse)
	endless := "HTTP/1.1 200 OK\r\n\r\n"
	overHTTP1 := func(method, version string, chunked bool, size int) sendOver {
		return func(entry *httptest.Server) (*http.Response, error) {
			head, body := framed(chunked, size, "")
			head = strings.Replace(head, "POST", method, 1)
			head = strings.Replace(head, "HTTP/1.1", version, 1)
			return overRaw(head, body, 0)(entry)
		}
	}
	const streamed = 8 << 20
	for _, kind := range []struct {
		name string
		send sendOver
	}{
		{"that is buffered", overHTTP1(http.MethodPost, "HTTP/1.1", false, tune.MaxReplayBody)},
		{"in chunks that is buffered", overHTTP1(http.MethodPost, "HTTP/1.1", true, 60_000)},
		{"of known length", overHTTP1(http.MethodPost, "HTTP/1.1", false, streamed)},
		{"in chunks", overHTTP1(http.MethodPost, "HTTP/1.1", true, streamed)},
		{"on a kept connection", func(entry *httptest.Server) (*http.Response, error) {
			res, err := http.Get(entry.URL + "/s/warm")
			Expect(err).NotTo(HaveOccurred())
			Expect(res.StatusCode).To(Equal(http.StatusOK))
			_ = res.Body.Close()
			return overHTTP1(http.MethodPut, "HTTP/1.1", false, streamed)(entry)
		}},
		{"over HTTP/1.0", overHTTP1(http.MethodPost, "HTTP/1.0", false, streamed)},
		{"over HTTP/2", overHTTP2(http.MethodPost, func() io.Reader {
			return io.MultiReader(bytes.NewReader(make([]byte, streamed)))
		})},
	} {
		for _, tc := range []struct {
			name, answer string
			pause        time.Duration
			end          func(c net.Conn)
			// body is that of the complete answer; "" if there is none.
			body string
		}{
			{"is cut by a reset", endless + short, 2 * time.Millisecond, reset, ""},
			{"is cut by a reset at once", endless + short, 0, reset, ""},
			{"is cut by a reset, of HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n" + short, 2 * time.Millisecond, reset, ""},
			{"is cut by a reset after a long part", endless + long, 2 * time.Millisecond, reset, ""},
			{"is cut by a reset in its length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + short, 2 * time.Millisecond, reset, ""},
			{"is cut by a reset in its chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n" + short + "\r\n", 2 * time.Millisecond, reset, ""},
			{"is cut by a reset in its trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\n" + short + "\r\n0\r\nX-Sum: 1\r\n", 2 * time.Millisecond, reset, ""},
			{"ends in order without a length", endless + short, 2 * time.Millisecond, closeSending, short},
			{"ends in order after a long part", endless + long, 2 * time.Millisecond, closeSending, long},
		} {
			complete := tc.body != ""
			It(fmt.Sprintf("%s: to an upload %s", tc.name, kind.name), func() {
				for range rounds {
					on, err := net.Listen("tcp", "127.0.0.1:0")
					Expect(err).NotTo(HaveOccurred())
					go (&earlyUpstream{on, tc.answer, tc.pause, tc.end}).loop()
					handler := startEntryFor(&httptest.Server{URL: "http://" + on.Addr().String()}, bodyLimit, func(f func()) { DeferCleanup(f) }).Config.Handler
					entry := httptest.NewUnstartedServer(handler)
					entry.Config.Protocols = new(http.Protocols)
					entry.Config.Protocols.SetHTTP1(true)
					entry.Config.Protocols.SetUnencryptedHTTP2(true)
					entry.Start()
					res, err := kind.send(entry)
					Expect(err).NotTo(HaveOccurred(), "the caller got no answer")
					got, err := io.ReadAll(res.Body)
					switch {
					case complete:
						Expect(err).NotTo(HaveOccurred())
						Expect(res.StatusCode).To(Equal(http.StatusOK))
						Expect(string(got)).To(Equal(tc.body))
					case err == nil:
						Expect(res.StatusCode).To(Equal(http.StatusBadGateway), "a complete answer of %d bytes", len(got))
						Expect(res.Header.Get(wire.Outcome)).To(Equal("unknown"))
					default:
						Expect(errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || strings.Contains(err.Error(), "stream error")).To(BeTrue(), "%v", err)
					}
					_ = on.Close()
					entry.CloseClientConnections()
					entry.Close()
				}
			})
		}
	}
})
