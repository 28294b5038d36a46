package sender_test

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/sender"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// scriptedUpstream reads requests whole and records them. It answers the path /first with an empty response, and any other as
// script does, which reports whether the connection goes on.
type scriptedUpstream struct {
	listener net.Listener
	script   func(c net.Conn) bool
	// approves is set to answer an expectation with 100 Continue.
	approves bool
	mu       sync.Mutex
	conns    int
	// heads and bodies are those of the requests other than /first.
	heads, bodies []string
}

func startScripted(script func(c net.Conn) bool) *scriptedUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	u := &scriptedUpstream{listener: l, script: script}
	go u.loop()
	return u
}

func (u *scriptedUpstream) addr() netip.AddrPort {
	return netip.MustParseAddrPort(u.listener.Addr().String())
}

func (u *scriptedUpstream) loop() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns++
		u.mu.Unlock()
		go (&scriptedConn{u, c}).loop()
	}
}

// counts returns the number of connections and the number of requests other than /first.
func (u *scriptedUpstream) counts() (conns, runs int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns, len(u.heads)
}

// request returns the head and the body of the last request other than /first.
func (u *scriptedUpstream) request() (head, body string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.heads) == 0 {
		return "", ""
	}
	return u.heads[len(u.heads)-1], u.bodies[len(u.bodies)-1]
}

type scriptedConn struct {
	upstream *scriptedUpstream
	conn     net.Conn
}

func (p *scriptedConn) loop() {
	defer func() { _ = p.conn.Close() }()
	in := bufio.NewReader(p.conn)
	for {
		head, err := readHead(in)
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(head), in)))
		if err != nil {
			return
		}
		if p.upstream.approves && req.Header.Get("Expect") != "" {
			_, _ = io.WriteString(p.conn, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		body, err := readBody(head, in)
		if err != nil {
			return
		}
		if req.Host != callHost && req.Host != p.upstream.addr().String() {
			// Another process on this host still calls a port that used to be its own.
			return
		}
		if req.URL.Path == "/first" {
			_, _ = io.WriteString(p.conn, emptyOK)
			continue
		}
		p.upstream.mu.Lock()
		p.upstream.heads = append(p.upstream.heads, head)
		p.upstream.bodies = append(p.upstream.bodies, body)
		p.upstream.mu.Unlock()
		if !p.upstream.script(p.conn) {
			return
		}
	}
}

// callHost is the host of all calls of this process; probes have the address of the upstream.
var callHost = fmt.Sprintf("h%d.example", os.Getpid())

const emptyOK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// readHead reads up to the empty line that ends the head of a request.
func readHead(in *bufio.Reader) (string, error) {
	var head strings.Builder
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		line, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		head.WriteString(line)
	}
	return head.String(), nil
}

// readBody reads the body of a request as it comes on the wire, with chunk sizes and trailers.
func readBody(head string, in *bufio.Reader) (string, error) {
	var length int
	for line := range strings.SplitSeq(head, "\r\n") {
		if _, err := fmt.Sscanf(line, "Content-Length: %d", &length); err == nil {
			body := make([]byte, length)
			_, err := io.ReadFull(in, body)
			return string(body), err
		}
	}
	if !strings.Contains(head, "\r\nTransfer-Encoding: chunked\r\n") {
		return "", nil
	}
	var body strings.Builder
	for last := false; ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		body.WriteString(line)
		last = last || line == "0\r\n"
		if last && line == "\r\n" {
			return body.String(), nil
		}
	}
}

func answerEmpty(c net.Conn) bool {
	_, err := io.WriteString(c, emptyOK)
	return err == nil
}

func endConn(net.Conn) bool { return false }

func resetConn(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// write returns a script that writes text and keeps the connection.
func write(text string) func(net.Conn) bool {
	return func(c net.Conn) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// exchange sends r with s and returns the result, and the status, header, trailer and body of the response if there is one.
func exchange(s *sender.Sender, r *outreq.Request) (result.Result, *http.Response, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Host, r.ID, r.SentAt = callHost, "1", time.Now()
	res, out := s.Send(ctx, r)
	if res == nil {
		return out, nil, ""
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return out, res, string(body)
}

// openConn makes a call that leaves a connection in the pool.
func openConn(s *sender.Sender, addr netip.AddrPort, h http.Header) {
	out, res, _ := exchange(s, &outreq.Request{Method: http.MethodGet, RequestURI: "/first", Header: h, Buffered: true, Addr: addr})
	Expect(out.Cause).To(Equal(cause.None))
	Expect(res.StatusCode).To(Equal(http.StatusOK))
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions, http.MethodTrace, "PROPFIND", "PURGE",
}

// meaningful are the headers to which net/http gives a meaning of its own, in some method or with some body.
var meaningful = []http.Header{
	{},
	{"Idempotency-Key": {"k"}},
	{"X-Idempotency-Key": {"k"}},
	{"idempotency-key": {"k"}},
	{"Idempotency-Key": {}},
	{"X-Idempotency-Key": nil},
	{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}},
	{"Connection": {"close"}},
	{"Connection": {"keep-alive"}},
	{"Connection": {"Upgrade"}, "Upgrade": {"websocket"}},
	{"Trailer": {"X-Sum"}},
	{"Te": {"trailers"}},
	{"Transfer-Encoding": {"chunked"}},
	{"Accept-Encoding": {"gzip"}},
	{"Accept-Encoding": {""}},
	{"Range": {"bytes=0-1"}},
	{"Content-Length": {"7"}},
	{"Expect": {"100-continue"}},
	{"Cookie": {"a=b"}},
	{"Referer": {"http://r/"}},
	{"User-Agent": {"u"}},
	{"Proxy-Authorization": {"p"}},
	{"Authorization": {"a"}},
	{"Host": {"other"}},
}

// bodies are the ways in which a request body may be given.
var bodies = []struct {
	name string
	set  func(r *outreq.Request)
}{
	{"no body", func(r *outreq.Request) { r.Buffered = true }},
	{"an empty body of unknown length", func(r *outreq.Request) { r.Buffered, r.Chunked = true, true }},
	{"a body", func(r *outreq.Request) { r.Buffered, r.Body = true, []byte("x") }},
	{"a body of unknown length", func(r *outreq.Request) { r.Buffered, r.Chunked, r.Body = true, true, []byte("x") }},
	{"a stream", func(r *outreq.Request) { r.Stream, r.StreamLength = io.NopCloser(strings.NewReader("x")), 1 }},
	{"a stream of unknown length", func(r *outreq.Request) { r.Stream, r.StreamLength = io.NopCloser(strings.NewReader("x")), -1 }},
	{"an empty stream", func(r *outreq.Request) { r.Stream = http.NoBody }},
}

// Guards against a repeat by net/http, which sends a request again by itself if a reused connection ends before the first byte
// of a response: which requests, follows from their method, their body and some headers, and not from the rules of the call.
var _ = Describe("A call whose answer is lost", func() {
	for _, tc := range []struct {
		name       string
		kept       bool
		end        func(net.Conn) bool
		idempotent bool
	}{
		{"on a kept connection that is closed", true, endConn, false},
		{"on a kept connection that is reset", true, resetConn, false},
		{"on a fresh connection that is closed", false, endConn, false},
		{"on a fresh connection that is reset", false, resetConn, false},
		{"on a kept connection that is closed, if it may be repeated", true, endConn, true},
		{"on a kept connection that is reset, if it may be repeated", true, resetConn, true},
	} {
		for _, method := range methods {
			for _, body := range bodies {
				It(fmt.Sprintf("has run once: %s with %s %s", method, body.name, tc.name), func() {
					for _, h := range meaningful {
						u := startScripted(tc.end)
						s := sender.New(clock.Wall(), header.Default())
						if tc.kept {
							// net/http keeps the connections of requests for an upgrade apart.
							openConn(s, u.addr(), h)
						}
						r := &outreq.Request{Method: method, RequestURI: "/lost", Header: h, Idempotent: tc.idempotent, Addr: u.addr()}
						body.set(r)
						u.approves = !r.Buffered
						kept := tc.kept && (r.Buffered || r.Idempotent)
						out, res, _ := exchange(s, r)
						conns, runs := u.counts()
						Expect(runs).To(Equal(1), "runs with %v: %q", h, u.heads)
						Expect(res).To(BeNil())
						Expect(out.Cause).To(Equal(cause.ConnBroken), "with %v", h)
						Expect(out.MayHaveRun()).To(BeTrue())
						if kept {
							Expect(conns).To(Equal(1), "connections with %v", h)
						}
					}
				})
			}
		}
	}
})

// Guards against anything else that net/http does with a call without a decision of this package.
var _ = Describe("net/http", func() {
	var zipped bytes.Buffer
	z := gzip.NewWriter(&zipped)
	_, _ = io.WriteString(z, "text")
	_ = z.Close()
	gzipped := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", zipped.Len(), zipped.String())
	location := "Location: /elsewhere\r\nContent-Length: 0\r\n\r\n"
	// A SETTINGS and a GOAWAY frame of HTTP/2.
	const goAway = "\x00\x00\x00\x04\x00\x00\x00\x00\x00" + "\x00\x00\x08\x07\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
	switching := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
	for _, tc := range []struct {
		name    string
		method  string
		header  http.Header
		body    string
		respond func(net.Conn) bool
		cause   cause.Cause
		status  int
		// wantHeader and wantBody are parts of the response.
		wantHeader, wantBody string
	}{
		{"follows no 301", http.MethodGet, nil, "", write("HTTP/1.1 301 Moved\r\n" + location), cause.None, 301, "Location: /elsewhere", ""},
		{"follows no 302", http.MethodPost, nil, "x", write("HTTP/1.1 302 Found\r\n" + location), cause.None, 302, "Location: /elsewhere", ""},
		{"follows no 303", http.MethodPost, nil, "x", write("HTTP/1.1 303 See Other\r\n" + location), cause.None, 303, "Location: /elsewhere", ""},
		{"follows no 307", http.MethodPut, nil, "x", write("HTTP/1.1 307 Again\r\n" + location), cause.None, 307, "Location: /elsewhere", ""},
		{"follows no 308", http.MethodGet, nil, "", write("HTTP/1.1 308 Again\r\n" + location), cause.None, 308, "Location: /elsewhere", ""},
		{"answers no challenge", http.MethodGet, nil, "", write("HTTP/1.1 401 No\r\nWww-Authenticate: Basic\r\nContent-Length: 0\r\n\r\n"), cause.None, 401, "Www-Authenticate: Basic", ""},
		{"does not repeat after 408", http.MethodGet, nil, "", write("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"), cause.None, 408, "", ""},
		{"does not repeat after 421", http.MethodGet, nil, "", write("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"), cause.None, 421, "", ""},
		{"does not repeat after 425", http.MethodGet, nil, "", write("HTTP/1.1 425 Too Early\r\nContent-Length: 0\r\n\r\n"), cause.None, 425, "", ""},
		{"does not repeat after 503 with Retry-After", http.MethodGet, nil, "", write("HTTP/1.1 503 Full\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n"), cause.Error, 503, "Retry-After: 0", ""},
		{"decodes no body", http.MethodGet, nil, "", write(gzipped), cause.None, 200, "Content-Encoding: gzip", zipped.String()},
		{"decodes no body that the caller asked for", http.MethodGet, http.Header{"Accept-Encoding": {"gzip"}}, "", write(gzipped), cause.None, 200, "Content-Encoding: gzip", zipped.String()},
		{"takes HTTP/2 frames for no answer", http.MethodGet, nil, "", func(c net.Conn) bool { return write(goAway)(c) && false }, cause.ConnBroken, 0, "", ""},
		{"switches to no other protocol", http.MethodGet, nil, "", write(switching), cause.ConnBroken, 0, "", ""},
		{"switches to no other protocol that the caller asked for", http.MethodGet, http.Header{"Connection": {"Upgrade"}, "Upgrade": {"websocket"}}, "", write(switching), cause.ConnBroken, 0, "", ""},
		{"sends the body without a wait for 100 Continue", http.MethodPost, http.Header{"Expect": {"100-continue"}}, "x", answerEmpty, cause.None, 200, "", ""},
		{"sends no body twice after 100 Continue", http.MethodPost, http.Header{"Expect": {"100-continue"}}, "x", write("HTTP/1.1 100 Continue\r\n\r\n" + emptyOK), cause.None, 200, "", ""},
		{"sends nothing again after 417", http.MethodPost, http.Header{"Expect": {"100-continue"}}, "x", write("HTTP/1.1 417 No\r\nContent-Length: 0\r\n\r\n"), cause.None, 417, "", ""},
		{"passes trailers on", http.MethodGet, nil, "", write("HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Sum: 1\r\n\r\n"), cause.None, 200, "X-Sum: 1", "x"},
		{"keeps no cookie", http.MethodGet, nil, "", write("HTTP/1.1 200 OK\r\nSet-Cookie: a=b\r\nContent-Length: 0\r\n\r\n"), cause.None, 200, "Set-Cookie: a=b", ""},
	} {
		It(tc.name, func() {
			u := startScripted(tc.respond)
			s := sender.New(clock.Wall(), header.Default())
			openConn(s, u.addr(), tc.header)
			for sent := 1; sent <= 2; sent++ {
				start := time.Now()
				out, res, body := exchange(s, &outreq.Request{Method: tc.method, RequestURI: "/a", Header: tc.header.Clone(), Buffered: true, Body: []byte(tc.body), Addr: u.addr()})
				Expect(time.Since(start)).To(BeNumerically("<", 900*time.Millisecond))
				Expect(out.Cause).To(Equal(tc.cause))
				_, runs := u.counts()
				Expect(runs).To(Equal(sent))
				head, gotBody := u.request()
				Expect(gotBody).To(Equal(tc.body))
				for _, added := range []string{"User-Agent", "Cookie", "Referer", "Accept-Encoding", "Connection", "Upgrade", "Te", "HTTP2-Settings", "Authorization"} {
					if tc.header.Get(added) == "" {
						Expect(head).NotTo(ContainSubstring("\r\n" + added + ":"))
					}
				}
				if tc.status == 0 {
					Expect(res).To(BeNil())
					continue
				}
				Expect(res.StatusCode).To(Equal(tc.status))
				Expect(body).To(Equal(tc.wantBody))
				if name, value, ok := strings.Cut(tc.wantHeader, ": "); ok {
					Expect(slices.Concat(res.Header.Values(name), res.Trailer.Values(name))).To(Equal([]string{value}))
				}
			}
		})
	}

	It("passes informational responses on and repeats nothing after them", func() {
		u := startScripted(func(c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
			return false
		})
		s := sender.New(clock.Wall(), header.Default())
		openConn(s, u.addr(), nil)
		var statuses []int
		r := &outreq.Request{Method: http.MethodGet, RequestURI: "/a", Buffered: true, Addr: u.addr()}
		r.OnInformational = func(status int, _ http.Header) { statuses = append(statuses, status) }
		out, _, _ := exchange(s, r)
		Expect(out.Cause).To(Equal(cause.ConnBroken))
		Expect(statuses).To(Equal([]int{102, 103}))
		_, runs := u.counts()
		Expect(runs).To(Equal(1))
	})

	It("uses no proxy from the environment", func() {
		used := startScripted(answerEmpty)
		u := startScripted(answerEmpty)
		for _, name := range []string{"HTTP_PROXY", "http_proxy", "ALL_PROXY", "all_proxy"} {
			GinkgoT().Setenv(name, "http://"+used.addr().String())
		}
		// net/http never uses a proxy for a loopback address; the unspecified one also leads to this host.
		addr := netip.AddrPortFrom(netip.IPv4Unspecified(), u.addr().Port())
		out, _, _ := exchange(sender.New(clock.Wall(), header.Default()), &outreq.Request{Method: http.MethodGet, RequestURI: "/a", Buffered: true, Addr: addr})
		Expect(out.Cause).To(Equal(cause.None))
		_, runs := u.counts()
		Expect(runs).To(Equal(1))
		conns, _ := used.counts()
		Expect(conns).To(BeZero())
	})

	It("repeats no probe", func() {
		u := startScripted(endConn)
		s := sender.New(clock.Wall(), header.Default())
		openConn(s, u.addr(), nil)
		out := s.Probe(context.Background(), "u", u.addr(), "/load")
		Expect(out.Cause).To(Equal(cause.ConnBroken))
		conns, runs := u.counts()
		Expect([]int{conns, runs}).To(Equal([]int{1, 1}))
	})

	It("does not hold a probe whose answer is a switch of protocols", func() {
		u := startScripted(write(switching))
		start := time.Now()
		out := sender.New(clock.Wall(), header.Default()).Probe(context.Background(), "u", u.addr(), "/load")
		Expect(out.Cause).To(Equal(cause.ConnBroken))
		Expect(time.Since(start)).To(BeNumerically("<", tune.ProbeTimeout+time.Second))
	})
})

// What an upstream gets of a call follows from the call alone; net/http adds only the framing of the body.
var _ = Describe("A request on the wire", func() {
	long := func(m string) bool { return m == http.MethodPost || m == http.MethodPut || m == http.MethodPatch }
	for _, body := range bodies {
		for _, method := range methods {
			It(fmt.Sprintf("is what the caller sent: %s with %s", method, body.name), func() {
				u := startScripted(answerEmpty)
				s := sender.New(clock.Wall(), header.Default())
				openConn(s, u.addr(), nil)
				h := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"l"}, "x-lower": {"1"}}
				r := &outreq.Request{Method: method, RequestURI: "/a%2Fb/?q=%20&r", Header: h, Idempotent: true, Addr: u.addr()}
				body.set(r)
				framing, sent := "", ""
				unknown := r.Chunked || r.StreamLength < 0
				switch {
				case r.Stream != http.NoBody && len(r.Body)+int(r.StreamLength) == 0 && !unknown, r.Chunked && len(r.Body) == 0, r.Stream == http.NoBody:
					if long(method) {
						framing = "Content-Length: 0\r\n"
					}
				case unknown:
					framing, sent = "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n"
				default:
					framing, sent = "Content-Length: 1\r\n", "x"
				}
				out, _, _ := exchange(s, r)
				Expect(out.Cause).To(Equal(cause.None))
				head, got := u.request()
				Expect(head).To(Equal(method + " /a%2Fb/?q=%20&r HTTP/1.1\r\nHost: " + callHost + "\r\n" + framing + "Idempotency-Key: k\r\nX-Idempotency-Key: l\r\nx-lower: 1\r\n\r\n"))
				Expect(got).To(Equal(sent))
				conns, runs := u.counts()
				Expect([]int{conns, runs}).To(Equal([]int{1, 1}))
			})
		}
	}
})

// Connections that are too old for calls that must run at most once cost one new connection, not one for each call.
var _ = Describe("Kept connections that are not proven live", func() {
	const kept = 3
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		It("are replaced by one new connection for calls without a body: "+method, func() {
			entered, release := make(chan struct{}, kept), make(chan struct{})
			u := startScripted(func(c net.Conn) bool {
				entered <- struct{}{}
				<-release
				return answerEmpty(c)
			})
			cl := &skewedClock{Clock: clock.Wall()}
			s := sender.New(cl, header.Default())
			var wg sync.WaitGroup
			for range kept {
				wg.Go(func() {
					defer GinkgoRecover()
					out, _, _ := exchange(s, &outreq.Request{Method: method, RequestURI: "/a", Buffered: true, Addr: u.addr()})
					Expect(out.Cause).To(Equal(cause.None))
				})
			}
			for range kept {
				<-entered
			}
			close(release)
			wg.Wait()
			cl.advance(2 * tune.ConnProvenAge)
			for range kept {
				out, _, _ := exchange(s, &outreq.Request{Method: method, RequestURI: "/a", Buffered: true, Addr: u.addr()})
				Expect(out.Cause).To(Equal(cause.None))
				<-entered
			}
			conns, runs := u.counts()
			Expect(runs).To(Equal(2 * kept))
			Expect(conns).To(Equal(kept + 1))
		})
	}

	for _, idempotent := range []bool{false, true} {
		for _, method := range methods {
			It(fmt.Sprintf("cost no call its answer when the upstream has closed them: %s, may be repeated: %t", method, idempotent), func() {
				u := startScripted(func(c net.Conn) bool {
					answerEmpty(c)
					return false
				})
				s := sender.New(clock.Wall(), header.Default())
				for sent := 1; sent <= 3; sent++ {
					out, _, _ := exchange(s, &outreq.Request{Method: method, RequestURI: "/a", Buffered: true, Idempotent: idempotent, Addr: u.addr()})
					Expect(out.Cause).To(Equal(cause.None))
					_, runs := u.counts()
					Expect(runs).To(Equal(sent))
					// The end of the connection arrives after the response.
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
})
