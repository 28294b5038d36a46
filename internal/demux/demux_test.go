package demux_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/demux"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// gatedHandler blocks each request until its path is released, and records the paths of the requests that were started and
// canceled, in order.
type gatedHandler struct {
	mu       sync.Mutex
	started  []string
	canceled []string
	gates    map[string]chan struct{}
}

func newGatedHandler() *gatedHandler { return &gatedHandler{gates: map[string]chan struct{}{}} }

func (s *gatedHandler) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *gatedHandler) release(paths ...string) {
	for _, p := range paths {
		close(s.gate(p))
	}
}

func (s *gatedHandler) snapshot(list *[]string) func() []string {
	return func() []string {
		s.mu.Lock()
		defer s.mu.Unlock()
		return append([]string{}, *list...)
	}
}

func (s *gatedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		abandonBody(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.started = append(s.started, r.URL.Path)
	s.mu.Unlock()
	select {
	case <-s.gate(r.URL.Path):
	case <-r.Context().Done():
		s.mu.Lock()
		s.canceled = append(s.canceled, r.URL.Path)
		s.mu.Unlock()
	}
	if strings.HasPrefix(r.URL.Path, "/cut") {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, r.URL.Path+":"+string(body))
}

// abandonBody makes the server take the request as complete although its body has not been read.
func abandonBody(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex()
	_ = rc.SetReadDeadline(time.Now())
	_, _ = r.Body.Read(make([]byte, 1))
}

// fixture is a server behind a Listener, with a connection of a caller to it.
type fixture struct {
	handler  *gatedHandler
	listener *demux.Listener
	server   *http.Server
	conn     net.Conn
	reader   *bufio.Reader
}

func newFixture(b *bounds.Bounds) *fixture {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fixture{handler: newGatedHandler(), listener: demux.New(on, clock.Wall())}
	f.listener.Bounds = func() *bounds.Bounds { return b }
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	f.server = &http.Server{Handler: f.handler, Protocols: &p}
	go func() { _ = f.listener.Serve(f.server) }()
	DeferCleanup(f.server.Close)
	f.conn, err = net.Dial("tcp", on.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = f.conn.Close() })
	f.reader = bufio.NewReader(f.conn)
	return f
}

func (f *fixture) send(raw string) {
	_, err := io.WriteString(f.conn, raw)
	Expect(err).NotTo(HaveOccurred())
}

// readResponse reads the next response and returns its body and whether the connection closes after it. The body is empty
// if the connection ended instead.
func (f *fixture) readResponse() (text string, closing bool) {
	Expect(f.conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	res, err := http.ReadResponse(f.reader, nil)
	if err != nil {
		Expect(err).NotTo(MatchError(ContainSubstring("timeout")))
		return "", true
	}
	body, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body), res.Close
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func post(path, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

const chunkedRequest = "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n"

var _ = Describe("Listener", func() {
	for _, tc := range []struct {
		name string
		send string
		// started lists the requests that start before any is answered.
		started   []string
		release   []string
		responses []string
	}{
		{"answers a single request", get("/a"), []string{"/a"}, []string{"/a"}, []string{"/a:"}},
		{"runs pipelined requests concurrently and answers them in order", get("/a") + get("/b") + get("/c"), []string{"/a", "/b", "/c"}, []string{"/c", "/b", "/a"}, []string{"/a:", "/b:", "/c:"}},
		{"holds a request with a body until all earlier ones are answered", get("/a") + post("/b", "xy") + get("/c"), []string{"/a"}, []string{"/c", "/b", "/a"}, []string{"/a:", "/b:xy", "/c:"}},
		{"passes a body of unknown length through to the server", get("/a") + chunkedRequest + get("/d"), []string{"/a"}, []string{"/d", "/c", "/a"}, []string{"/a:", "/c:xy", "/d:"}},
		{"limits the number of concurrent requests", strings.Repeat(get("/a"), 9) + get("/b"), []string{"/a", "/a", "/a", "/a", "/a", "/a", "/a", "/a"}, []string{"/a", "/b"}, []string{"/a:", "/a:", "/a:", "/a:", "/a:", "/a:", "/a:", "/a:", "/a:", "/b:"}},
		{"abandons the requests after an aborted response", get("/a") + get("/cut") + get("/b"), []string{"/a", "/cut", "/b"}, []string{"/cut", "/a"}, []string{"/a:", ""}},
		{"passes a malformed head through to the server", "GET /a HTTP/1.1\r\nno field\r\n\r\n", nil, nil, []string{"400 Bad Request"}},
		{"refuses a head that is too long", "GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1100<<10) + "\r\n\r\n", nil, nil, []string{"431 Request Header Fields Too Large"}},
	} {
		It(tc.name, func() {
			f := newFixture(nil)
			go func() { _, _ = io.WriteString(f.conn, tc.send) }()
			Eventually(f.handler.snapshot(&f.handler.started)).Should(ConsistOf(tc.started))
			Consistently(f.handler.snapshot(&f.handler.started), 20*time.Millisecond).Should(HaveLen(len(tc.started)))
			f.handler.release(tc.release...)
			for _, want := range tc.responses {
				got, _ := f.readResponse()
				Expect(got).To(Equal(want))
			}
		})
	}

	It("passes HTTP/2 through to the server", func() {
		f := newFixture(nil)
		f.handler.release("/a", "/b")
		var p http.Protocols
		p.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{Protocols: &p}, Timeout: 2 * time.Second}
		DeferCleanup(client.CloseIdleConnections)
		for _, path := range []string{"/a", "/b"} {
			res, err := client.Get("http://" + f.listener.Addr().String() + path)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			_ = res.Body.Close()
			Expect(res.ProtoMajor).To(Equal(2))
			Expect(string(body)).To(Equal(path + ":"))
		}
	})

	It("cancels all requests when the caller closes the connection", func() {
		f := newFixture(nil)
		f.send(get("/a") + get("/b"))
		Eventually(f.handler.snapshot(&f.handler.started)).Should(HaveLen(2))
		_ = f.conn.Close()
		Eventually(f.handler.snapshot(&f.handler.canceled)).Should(ConsistOf("/a", "/b"))
	})

	It("closes a draining connection after the last response", func() {
		f := newFixture(nil)
		f.send(get("/a") + get("/b"))
		Eventually(f.handler.snapshot(&f.handler.started)).Should(HaveLen(2))
		f.listener.Drain()
		f.handler.release("/b", "/a")
		for _, tc := range []struct {
			text    string
			closing bool
		}{{"/a:", false}, {"/b:", true}} {
			text, closing := f.readResponse()
			Expect(text).To(Equal(tc.text))
			Expect(closing).To(Equal(tc.closing))
		}
		_, err := f.reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("answers every request during a shutdown", func() {
		f := newFixture(nil)
		f.send(get("/a"))
		Eventually(f.handler.snapshot(&f.handler.started)).Should(HaveLen(1))
		f.listener.Drain()
		down := make(chan error, 1)
		go func() { down <- f.server.Shutdown(context.Background()) }()
		Consistently(down, 20*time.Millisecond).ShouldNot(Receive())
		f.handler.release("/a")
		text, closing := f.readResponse()
		Expect(text).To(Equal("/a:"))
		Expect(closing).To(BeTrue())
		Eventually(down).Should(Receive(BeNil()))
	})

	for _, tc := range []struct {
		name   string
		bounds bounds.Bounds
		send   string
	}{
		{"closes a connection that is idle for too long", bounds.Bounds{IdleTimeout: 30 * time.Millisecond}, ""},
		{"closes a connection if the head of a request takes too long", bounds.Bounds{ReadHeaderTimeout: 30 * time.Millisecond}, "GET /a HT"},
	} {
		It(tc.name, func() {
			f := newFixture(&tc.bounds)
			f.send(tc.send)
			text, _ := f.readResponse()
			Expect(text).To(BeEmpty())
		})
	}

	It("closes a connection whose server takes a request as complete before it has read its body", func() {
		f := newFixture(nil)
		f.send("POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n")
		_, _ = f.readResponse()
		_, _ = io.WriteString(f.conn, get("/smuggled"))
		_, closing := f.readResponse()
		Expect(closing).To(BeTrue())
		Expect(f.handler.snapshot(&f.handler.started)()).To(BeEmpty())
	})

	for _, tc := range []struct{ name, first string }{
		{"of HTTP/1.0", "GET /a HTTP/1.0\r\nHost: a\r\n\r\n"},
		{"that closes the connection", "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"},
	} {
		It("serves no request behind one "+tc.name+", since the caller sends it again", func() {
			f := newFixture(nil)
			f.send(tc.first + get("/b"))
			Eventually(f.handler.snapshot(&f.handler.started)).Should(Equal([]string{"/a"}))
			Consistently(f.handler.snapshot(&f.handler.started), 50*time.Millisecond).Should(HaveLen(1))
			f.handler.release("/a")
			text, closing := f.readResponse()
			Expect(text).To(Equal("/a:"))
			Expect(closing).To(BeTrue())
			_, err := f.reader.ReadByte()
			Expect(err).To(MatchError(io.EOF))
		})
	}

	It("does not count the time that a request runs as idle", func() {
		f := newFixture(&bounds.Bounds{IdleTimeout: 20 * time.Millisecond})
		f.send(get("/a"))
		Consistently(f.handler.snapshot(&f.handler.canceled), 80*time.Millisecond).Should(BeEmpty())
		f.handler.release("/a")
		text, _ := f.readResponse()
		Expect(text).To(Equal("/a:"))
	})
})
