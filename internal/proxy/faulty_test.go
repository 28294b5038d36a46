package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/resets"
	"github.com/balsamvale/balsamvale/internal/wire"
)

// faultyUpstream reads the head of each request, sends answer and, after a pause, resets the connection; its loop method is a
// goroutine.
type faultyUpstream struct {
	listener net.Listener
	answer   string
	pause    time.Duration
}

func (u *faultyUpstream) loop() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go (&faultyConn{u, c}).run()
	}
}

type faultyConn struct {
	upstream *faultyUpstream
	conn     net.Conn
}

func (p *faultyConn) run() {
	if _, err := http.ReadRequest(bufio.NewReader(p.conn)); err == nil {
		_, _ = io.WriteString(p.conn, p.upstream.answer)
		time.Sleep(p.upstream.pause)
	}
	reset(p.conn)
}

// sendOver makes one call and returns its response; the response may break off later.
type sendOver func(entry *httptest.Server) (*http.Response, error)

// overHTTP2 makes the call with a client of HTTP/2 only.
func overHTTP2(method string, body func() io.Reader) sendOver {
	return func(entry *httptest.Server) (*http.Response, error) {
		t := &http.Transport{Protocols: new(http.Protocols)}
		t.Protocols.SetUnencryptedHTTP2(true)
		DeferCleanup(t.CloseIdleConnections)
		req, err := http.NewRequest(method, entry.URL+"/s/up", body())
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set(wire.Deadline, "1s")
		return (&http.Client{Transport: t}).Do(req)
	}
}

// overRaw makes the call as raw bytes behind a split connection; skip is the number of responses before it.
func overRaw(head, body string, skip int) sendOver {
	return func(entry *httptest.Server) (*http.Response, error) {
		c, err := resets.DialContext(&net.Dialer{})(context.Background(), "tcp", serveSplit(entry))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		go func() { _, _ = io.WriteString(c, head+body) }()
		in := bufio.NewReader(c)
		for range skip {
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				return nil, err
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				// The connection ends with a response that breaks off, so this is the last one.
				res.Body = io.NopCloser(iotest.ErrReader(err))
				return res, nil
			}
		}
		return http.ReadResponse(in, nil)
	}
}

// Guards against answers of an upstream in trouble that reached callers as answers on other systems: a response without a length that
// ends by a reset while the upload is still being written, a status that HTTP does not define, and a field name that HTTP does not
// allow.
var _ = Describe("An answer of an upstream in trouble", func() {
	const upload = 400 << 10
	sized, sizedBody := framed(false, upload, "")
	chunked, chunkedBody := framed(true, upload, "")
	get := "GET /s/r HTTP/1.1\r\nHost: h\r\n" + wire.Deadline + ": 1s\r\n\r\n"
	noBody := func() io.Reader { return nil }
	slowBody := func() io.Reader { return io.MultiReader(strings.NewReader(strings.Repeat("x", upload))) }
	for _, kind := range []struct {
		name string
		send sendOver
	}{
		{"an upload of known length", overRaw(sized, sizedBody, 0)},
		{"an upload in chunks", overRaw(chunked, chunkedBody, 0)},
		{"a read", overRaw(get, "", 0)},
		{"the last of three pipelined reads", overRaw(get+get+get, "", 2)},
		{"an upload behind a pipelined read", overRaw(get+sized, sizedBody, 1)},
		{"a read over HTTP/2", overHTTP2(http.MethodGet, noBody)},
		{"an upload over HTTP/2", overHTTP2(http.MethodPost, slowBody)},
	} {
		for _, fault := range []struct {
			name, answer string
			pause        time.Duration
		}{
			{"a 200 without a length and a reset at once", "HTTP/1.1 200 OK\r\n\r\npart", 0},
			{"a 200 without a length and a reset after 20 ms", "HTTP/1.1 200 OK\r\n\r\npart", 20 * time.Millisecond},
			{"a 200 without a length and a reset after 150 ms", "HTTP/1.1 200 OK\r\n\r\npart", 150 * time.Millisecond},
			{"a 200 of HTTP/1.0 and a reset", "HTTP/1.0 200 OK\r\n\r\npart", 20 * time.Millisecond},
			{"a 200 that closes and a reset", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", 20 * time.Millisecond},
			{"the status 000", "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok", 20 * time.Millisecond},
			{"the status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok", 20 * time.Millisecond},
			{"a field name with a blank", "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 2\r\n\r\nok", 20 * time.Millisecond},
			{"a blank behind a field name", "HTTP/1.1 200 OK\r\nX-A : 1\r\nContent-Length: 2\r\n\r\nok", 20 * time.Millisecond},
			{"a field name with a blank and no body", "HTTP/1.1 204 No Content\r\nX A: 1\r\n\r\n", 20 * time.Millisecond},
			{"a field name with a control character", "HTTP/1.1 200 OK\r\nX\x01A: 1\r\nContent-Length: 2\r\n\r\nok", 20 * time.Millisecond},
			{"such an informational response", "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 20 * time.Millisecond},
			{"a trailer with a blank", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: 1\r\n\r\n", 20 * time.Millisecond},
			{"a trailer with a blank behind an announced one", "HTTP/1.1 200 OK\r\nTrailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: 1\r\nX A: 1\r\n\r\n", 20 * time.Millisecond},
			{"a long part and a trailer with a blank", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n0\r\nX A: 1\r\n\r\n", 20 * time.Millisecond},
			{"the status 600", "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok", 20 * time.Millisecond},
		} {
			It(fmt.Sprintf("never counts as complete: %s, to %s", fault.name, kind.name), func() {
				on, err := net.Listen("tcp", "127.0.0.1:0")
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(on.Close)
				go (&faultyUpstream{on, fault.answer, fault.pause}).loop()
				handler := startEntryFor(&httptest.Server{URL: "http://" + on.Addr().String()}, bodyLimit, func(f func()) { DeferCleanup(f) }).Config.Handler
				entry := httptest.NewUnstartedServer(handler)
				entry.Config.Protocols = new(http.Protocols)
				entry.Config.Protocols.SetHTTP1(true)
				entry.Config.Protocols.SetUnencryptedHTTP2(true)
				entry.Start()
				DeferCleanup(entry.Close)
				res, err := kind.send(entry)
				Expect(err).NotTo(HaveOccurred(), "the caller's connection ended without an answer")
				got, err := io.ReadAll(res.Body)
				if err == nil {
					Expect(res.StatusCode).To(And(BeNumerically(">=", 500), BeNumerically("<", 600)), "a complete answer: %q", got)
					Expect(res.Header.Get(wire.Outcome)).To(Equal("unknown"))
				}
			})
		}
	}
})
