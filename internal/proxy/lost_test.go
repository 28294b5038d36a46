package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// rawUpstream serves each connection with respond, which writes what follows its nth request and reports whether the connection
// goes on. It counts the runs of each path.
type rawUpstream struct {
	listener net.Listener
	respond  func(c net.Conn, n int) bool
	mu       sync.Mutex
	runs     map[string]int
	requests int
}

// startRaw starts an entry whose upstream is a rawUpstream.
func startRaw(respond func(c net.Conn, n int) bool) (*rawUpstream, *httptest.Server) {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &rawUpstream{listener: on, respond: respond, runs: map[string]int{}}
	go u.loop()
	DeferCleanup(on.Close)
	srv := startEntryFor(&httptest.Server{URL: "http://" + on.Addr().String()}, bodyLimit, func(f func()) { DeferCleanup(f) })
	return u, srv
}

func (u *rawUpstream) loop() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go (&rawConn{u, c}).loop()
	}
}

type rawConn struct {
	upstream *rawUpstream
	conn     net.Conn
}

func (p *rawConn) loop() {
	defer func() { _ = p.conn.Close() }()
	in := bufio.NewReader(p.conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		p.upstream.mu.Lock()
		p.upstream.runs[req.URL.Path]++
		n := p.upstream.requests
		p.upstream.requests++
		p.upstream.mu.Unlock()
		if !p.upstream.respond(p.conn, n) {
			return
		}
	}
}

func (u *rawUpstream) runsOf(path string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[path]
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

const okEmpty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// An upstream runs a call and its answer is lost. A call that must run at most once is not run again, and its caller is not told
// that it has not run.
var _ = Describe("A lost answer", func() {
	for _, tc := range []struct {
		name   string
		method string
		size   int
		keyed  bool
		// kept is set if the call goes to a connection that has been in use.
		kept bool
		lose func(c net.Conn)
		// runs is the number of times that the call may run.
		runs int
	}{
		{"of a call without a body, on a fresh connection", http.MethodPost, 0, false, false, func(c net.Conn) { _ = c.Close() }, 1},
		{"of a call without a body, on a kept connection", http.MethodPost, 0, false, true, func(c net.Conn) { _ = c.Close() }, 1},
		{"of a call without a body, on a kept connection that is reset", http.MethodPost, 0, false, true, reset, 1},
		{"of a keyed call, on a kept connection", http.MethodPost, 10, true, true, func(c net.Conn) { _ = c.Close() }, 1},
		{"of a keyed call, on a kept connection that is reset", http.MethodPost, 10, true, true, reset, 1},
		{"of an upload", http.MethodPost, 2 * tune.MaxReplayBody, false, false, reset, 1},
		{"of an upload, after a call on a kept connection", http.MethodPost, 2 * tune.MaxReplayBody, false, true, func(c net.Conn) { _ = c.Close() }, 1},
		{"of a call that may be repeated", http.MethodGet, 0, false, true, reset, tune.MaxAttempts},
		{"cut in its status line", http.MethodPost, 10, false, true, func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 503 Serv") }, 1},
		{"cut in its head, which says that the call has not run", http.MethodPost, 10, false, true, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+wire.Executed+": "+wire.ExecutedNone+"\r\n")
		}, 1},
	} {
		It("is not taken for a call that has not run: "+tc.name, func() {
			u, srv := startRaw(func(c net.Conn, n int) bool {
				if tc.kept && n == 0 {
					_, _ = io.WriteString(c, okEmpty)
					return true
				}
				tc.lose(c)
				return false
			})
			if tc.kept {
				res, err := http.Post(srv.URL+"/s/first", "", strings.NewReader("x"))
				Expect(err).NotTo(HaveOccurred())
				_ = res.Body.Close()
				Expect(res.StatusCode).To(Equal(http.StatusOK))
			}
			req, _ := http.NewRequest(tc.method, srv.URL+"/s/lost", strings.NewReader(strings.Repeat("x", tc.size)))
			if tc.keyed {
				req.Header.Set(wire.IdempotencyKey, "key-1")
			}
			res, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			_ = res.Body.Close()
			Expect(res.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(res.Header.Get(wire.Outcome)).To(Equal("unknown"))
			Expect(u.runsOf("/lost")).To(And(BeNumerically(">=", 1), BeNumerically("<=", tc.runs)))
		})
	}
})

// An answer that breaks off must not reach the caller as a complete one, however its end would be told.
var _ = Describe("An answer that breaks off", func() {
	for _, size := range []int{10, 2 * tune.MaxBufferedResponse} {
		for _, tc := range []struct {
			name string
			head string
			// body is the text that follows the head, and whole is set if the answer is complete.
			body  func(data string) string
			end   func(c net.Conn)
			whole bool
		}{
			{"before its length", fmt.Sprintf("Content-Length: %d\r\n", size+1), nil, func(net.Conn) {}, false},
			{"in a chunk", "Transfer-Encoding: chunked\r\n", func(d string) string { return fmt.Sprintf("%x\r\n%s", len(d)+1, d) }, func(net.Conn) {}, false},
			{"after a chunk", "Transfer-Encoding: chunked\r\n", func(d string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(d), d) }, func(net.Conn) {}, false},
			{"in the last chunk", "Transfer-Encoding: chunked\r\n", func(d string) string { return fmt.Sprintf("%x\r\n%s\r\n0", len(d), d) }, func(net.Conn) {}, false},
			{"in its trailers", "Transfer-Encoding: chunked\r\n", func(d string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Su", len(d), d) }, func(net.Conn) {}, false},
			{"by a reset, without a length", "", nil, reset, false},
			{"not, as it ends with its connection", "", nil, func(net.Conn) {}, true},
		} {
			It(fmt.Sprintf("does not look complete: %d bytes, %s", size, tc.name), func() {
				data := strings.Repeat("x", size)
				_, srv := startRaw(func(c net.Conn, _ int) bool {
					text := data
					if tc.body != nil {
						text = tc.body(data)
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+tc.head+"\r\n"+text)
					// A reset overtakes bytes that the receiver has not read.
					time.Sleep(20 * time.Millisecond)
					tc.end(c)
					return false
				})
				res, err := http.Post(srv.URL+"/s/a", "", strings.NewReader("x"))
				Expect(err).NotTo(HaveOccurred())
				defer func() { _ = res.Body.Close() }()
				got, err := io.ReadAll(res.Body)
				complete := err == nil && res.StatusCode == http.StatusOK
				Expect(complete).To(Equal(tc.whole), "%d, %d bytes, %v", res.StatusCode, len(got), err)
			})
		}
	}
})
