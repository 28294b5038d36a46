package demux_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/balsamvale/balsamvale/internal/demux"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// recorder is a handler that records each request; it leaves a part of the bodies unread.
type recorder struct {
	mu     sync.Mutex
	served []string
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodPut {
		// The server must not take the rest of the body for a request.
		rc := http.NewResponseController(w)
		_ = rc.EnableFullDuplex()
		_, _ = io.ReadFull(req.Body, make([]byte, 1))
		_ = rc.SetReadDeadline(time.Now())
	} else if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served = append(r.served, req.Method+" "+req.RequestURI)
}

func (r *recorder) snapshot() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.served)
}

// sentRequests parses a stream of requests with the parser of net/http, up to the first that is malformed or incomplete. As
// net/http does for old clients, it skips up to four CR and LF after a POST.
func sentRequests(data []byte) []string {
	var out []string
	in := bufio.NewReader(bytes.NewReader(data))
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return out
		}
		// A handler may answer before the end of a body.
		out = append(out, req.Method+" "+req.RequestURI)
		if _, err := io.Copy(io.Discard, req.Body); err != nil || req.Close {
			return out
		}
		if req.Method == http.MethodPost {
			next, _ := in.Peek(4)
			_, _ = in.Discard(len(next) - len(bytes.TrimLeft(next, "\r\n")))
		}
	}
}

// FuzzConn checks that the requests that are served are among those that were sent, whatever the bytes and however they are split,
// and that the connection ends.
func FuzzConn(f *testing.F) {
	for _, seed := range []string{
		get("/a") + get("/b"), post("/a", "xy") + get("/b"), chunkedRequest + get("/d"),
		"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 40\r\n\r\n" + get("/smuggled"),
		"PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n" + get("/smuggled") + "\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/b"),
		"GET /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + get("/b"),
		"GET /a HTTP/1.0\r\n\r\n" + get("/b"), "GET /a HTTP/1.1\nHost: a\n\n" + get("/b"), "\r\n\r\n" + get("/a"),
		"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/b"), "GET /a HT", "\x00\xff\r\n\r\n",
	} {
		f.Add([]byte(seed), uint16(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, split uint16) {
		on, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r := &recorder{}
		s := &http.Server{Handler: r, ErrorLog: nil, ReadHeaderTimeout: time.Second}
		l := demux.New(on, clock.Wall())
		l.Bounds = func() *bounds.Bounds { return &bounds.Bounds{ReadHeaderTimeout: time.Second, IdleTimeout: time.Second} }
		go func() { _ = l.Serve(s) }()
		defer func() { _ = s.Close() }()
		c, err := net.Dial("tcp", on.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		cut := min(int(split), len(data))
		_, _ = c.Write(data[:cut])
		_, _ = c.Write(data[cut:])
		_ = c.(*net.TCPConn).CloseWrite()
		if _, err := io.Copy(io.Discard, c); err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				t.Fatalf("the connection does not end: %q", data)
			}
		}
		sent := sentRequests(data)
		for _, served := range r.snapshot() {
			if !slices.Contains(sent, served) {
				t.Errorf("served %q, which was not sent; sent: %q", served, sent)
			}
		}
	})
}
