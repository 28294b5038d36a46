package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"

	"github.com/balsamvale/balsamvale/internal/flight"
	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/proxy"
	"github.com/balsamvale/balsamvale/internal/reqlog"
	"github.com/balsamvale/balsamvale/internal/sender"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/basis"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/poison"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

const (
	bodyLimit   = 32 << 20
	headerLimit = 8 << 10
)

// startEntry starts a server with a Handler whose service "s" has one upstream with the given handler.
func startEntry(upstream http.HandlerFunc) *httptest.Server {
	up := httptest.NewServer(reqlog.New(upstream, clock.Wall(), GinkgoWriter))
	DeferCleanup(up.Close)
	srv := startEntryFor(up, bodyLimit, func(f func()) { DeferCleanup(f) })
	log := logs.New(GinkgoWriter, clock.Wall(), zapcore.InfoLevel, 1)
	DeferCleanup(log.Close)
	srv.Config.Handler.(*proxy.Handler).Log = log
	return srv
}

// startEntryFor starts a server with a Handler whose service "s" has the upstream up; limit is the maximum size of a request
// body in bytes.
func startEntryFor(up *httptest.Server, limit int64, cleanup func(func())) *httptest.Server {
	svc := svcrec.Service{Name: "s", Slots: 4, Conns: 100, Timeout: 2 * time.Second, ColdConcurrency: 1, RetryPercent: 10, Queue: 10}
	cfg := &svcfg.Config{Service: svc, EntryCount: 1, Targets: []target.Target{{Upstream: upsrec.Upstream{
		Name: "up", Addr: netip.MustParseAddrPort(strings.TrimPrefix(up.URL, "http://")),
	}}}}
	p := pool.New(rand.New(rand.NewPCG(1, 1)), policy.LeastPredictedWait)
	p.Install(time.Now(), cfg)
	h := &proxy.Handler{
		InFlight: flight.New(), Admits: func(time.Time) bool { return true },
		Rule:    func(string, string) (*rulrec.Rule, bool) { return nil, false },
		Bounds:  func() *bounds.Bounds { return &bounds.Bounds{MaxHeaderBytes: headerLimit} },
		Headers: header.Default(), Configured: func() bool { return true }, Basis: func() basis.Basis { return basis.Basis{Revision: 1} },
		Service: func(name string) (*svcrec.Service, *pool.Pool) {
			if name != "s" {
				return nil, nil
			}
			return &svc, p
		},
		Send: sender.New(clock.Wall(), header.Default()).Send, Clock: clock.Wall(), Poison: poison.New(), Name: "e", Incarnation: 1, MaxBodyBytes: limit,
		Log: logs.New(io.Discard, clock.Wall(), zapcore.InfoLevel, 1),
		Claim: func(_ context.Context, _ string, c claim.Claim) (dedup.Result, claim.Claim) {
			return dedup.Acquired, c
		},
		CompleteClaim: func(string, claim.Claim) {},
	}
	h.SetMetrics(metrics.NewSet())
	srv := httptest.NewUnstartedServer(h)
	srv.Config.MaxHeaderBytes = headerLimit
	srv.Config.ReadHeaderTimeout = 200 * time.Millisecond
	srv.Config.ErrorLog = nil
	srv.Start()
	cleanup(srv.Close)
	return srv
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Path", r.URL.RequestURI())
	w.Header().Set("X-Internal", r.Header.Get(wire.Executed)+r.Header.Get("X-Hop")+r.Header.Get("Te"))
	_, _ = io.Copy(w, r.Body)
}

var _ = Describe("Requests over a socket", func() {
	for _, tc := range []struct {
		name, raw string
		// want is the start of the status line; empty if the connection is closed without a response or with status 408.
		want string
	}{
		{"a plain call", "GET /s/a HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200"},
		{"an unknown service", "GET /t/a HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 404"},
		{"no host", "GET /s/a HTTP/1.1\r\n\r\n", "HTTP/1.1 400"},
		{"no HTTP", "HELLO\r\n\r\n", "HTTP/1.1 400"},
		{"an upgrade to another protocol", "GET /s/a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", "HTTP/1.1 501"},
		{"a tunnel", "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n", "HTTP/1.1 501"},
		{"a body over the limit", "POST /s/a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n", "HTTP/1.1 413"},
		{"headers just over the operators' limit", "GET /s/a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", headerLimit) + "\r\n\r\n", "HTTP/1.1 431"},
		{"headers just below the operators' limit", "GET /s/a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", headerLimit-100) + "\r\n\r\n", "HTTP/1.1 200"},
		{"headers over the limit of the server", "GET /s/a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 4*headerLimit) + "\r\n\r\n", "HTTP/1.1 431"},
		{"two lengths", "POST /s/a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "HTTP/1.1 400"},
		{"a bad length", "POST /s/a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400"},
		{"an unknown transfer coding", "POST /s/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n", "HTTP/1.1 501"},
		{"a space before a colon", "GET /s/a HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n", "HTTP/1.1 400"},
		{"a NUL in a header", "GET /s/a HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n", "HTTP/1.1 400"},
		{"a bare CR in a header", "GET /s/a HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n", "HTTP/1.1 400"},
		{"bad chunks", "POST /s/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 400"},
		{"slow headers", "GET /s/a HTTP/1.1\r\nHost: h\r\n", ""},
	} {
		It("answers "+tc.name, func() {
			srv := startEntry(echo)
			c, err := net.Dial("tcp", srv.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			_, err = io.WriteString(c, tc.raw)
			Expect(err).NotTo(HaveOccurred())
			line, _ := bufio.NewReader(c).ReadString('\n')
			if tc.want == "" {
				Expect(line).To(Or(BeEmpty(), HavePrefix("HTTP/1.1 408")))
				return
			}
			Expect(line).To(HavePrefix(tc.want))
		})
	}
})

var _ = Describe("Calls", func() {
	It("pass on path, query and end-to-end headers, and drop other headers", func() {
		srv := startEntry(echo)
		req, _ := http.NewRequest(http.MethodPost, srv.URL+"/s/a%2Fb?c=d", strings.NewReader("body"))
		req.Header.Set(wire.Executed, "none")
		req.Header.Set("Connection", "X-Hop")
		req.Header.Set("X-Hop", "1")
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		data, _ := io.ReadAll(res.Body)
		Expect(string(data)).To(Equal("body"))
		Expect(res.Header.Get("X-Path")).To(Equal("/a%2Fb?c=d"))
		Expect(res.Header.Get("X-Internal")).To(BeEmpty())
		Expect(res.Header.Get(wire.Outcome)).To(Equal("answered"))
	})

	for _, tc := range []struct {
		name    string
		chunked bool
		size    int
	}{{"of known length", false, 8 << 20}, {"in chunks", true, 8 << 20}, {"that is small", false, 100}} {
		It("stream a body "+tc.name+" both ways", func() {
			srv := startEntry(echo)
			data := bytes.Repeat([]byte("0123456789abcdef"), tc.size/16+1)
			var body io.Reader = bytes.NewReader(data)
			if tc.chunked {
				body = io.MultiReader(body)
			}
			res, err := http.Post(srv.URL+"/s/up", "application/octet-stream", body)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = res.Body.Close() }()
			got, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Equal(got, data)).To(BeTrue())
		})
	}

	It("are refused when a body of unknown length exceeds the limit", func() {
		srv := startEntry(echo)
		body := io.MultiReader(bytes.NewReader(make([]byte, bodyLimit+1)))
		res, err := http.Post(srv.URL+"/s/up", "x/y", body)
		if err != nil {
			// The entry may close the connection while the caller is still sending.
			return
		}
		defer func() { _ = res.Body.Close() }()
		_, err = io.Copy(io.Discard, res.Body)
		Expect(err != nil || res.StatusCode == http.StatusRequestEntityTooLarge).To(BeTrue())
	})

	// A small response is read in full first, so that the caller gets a status 502. Of a large one, a part has already been
	// passed on, so that the connection has to be aborted.
	for _, tc := range []struct {
		name  string
		size  int
		known bool
		clean bool
	}{
		{"a small response of known length", 4, true, true},
		{"a small chunked response", 4, false, true},
		{"a large response of known length", 2 * tune.MaxBufferedResponse, true, false},
		{"a large chunked response", 2 * tune.MaxBufferedResponse, false, false},
	} {
		It("visibly fail when "+tc.name+" is cut off", func() {
			srv := startEntry(func(w http.ResponseWriter, _ *http.Request) {
				if tc.known {
					w.Header().Set("Content-Length", strconv.Itoa(tc.size+100))
				}
				_, _ = w.Write(bytes.Repeat([]byte("x"), tc.size))
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})
			res, err := http.Post(srv.URL+"/s/a", "", strings.NewReader("x"))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = res.Body.Close() }()
			_, err = io.ReadAll(res.Body)
			if tc.clean {
				Expect(err).NotTo(HaveOccurred())
				Expect(res.StatusCode).To(Equal(http.StatusBadGateway))
				Expect(res.Header.Get(wire.Outcome)).To(Equal("unknown"))
				return
			}
			Expect(err).To(HaveOccurred())
		})
	}

	It("do not panic when an upload is answered before its end", func() {
		up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusForbidden)
		}))
		DeferCleanup(up.Close)
		var logged bytes.Buffer
		for range 10 {
			// Each run uses a new entry, since its circuit breaker opens after several resets in a row.
			srv := startEntryFor(up, bodyLimit, func(f func()) { DeferCleanup(f) })
			srv.Config.ErrorLog = log.New(&logged, "", 0)
			c, err := net.Dial("tcp", srv.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			_, err = fmt.Fprintf(c, "POST /s/a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*tune.MaxReplayBody, strings.Repeat("x", tune.MaxReplayBody/8))
			Expect(err).NotTo(HaveOccurred())
			Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			Expect(err).NotTo(HaveOccurred())
			// The upstream may reset its connection before its response is read; the call then fails with status 502.
			Expect(res.StatusCode).To(BeElementOf(http.StatusForbidden, http.StatusBadGateway))
			// The caller continues to send the body.
			_, _ = io.WriteString(c, strings.Repeat("x", tune.MaxReplayBody/8))
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
			srv.Close()
		}
		Expect(logged.String()).NotTo(ContainSubstring("panic"))
	})

	It("pass on trailers and informational responses", func() {
		srv := startEntry(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Link", "</a>")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Set("Trailer", "X-Sum")
			w.WriteHeader(http.StatusOK)
			_, _ = io.WriteString(w, "ok")
			w.Header().Set("X-Sum", r.Trailer.Get("X-In"))
		})
		informational := 0
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			Got1xxResponse: func(code int, _ textproto.MIMEHeader) error { informational = code; return nil },
		})
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+"/s/a", io.MultiReader(strings.NewReader("x")))
		req.Trailer = http.Header{"X-In": {"7"}}
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		_, _ = io.ReadAll(res.Body)
		Expect(informational).To(Equal(http.StatusEarlyHints))
		Expect(res.Trailer.Get("X-Sum")).To(Equal("7"))
	})

	It("pass on the deadline and the cancellation of the caller to the upstream", func() {
		canceled, deadline := make(chan struct{}), make(chan string, 1)
		srv := startEntry(func(_ http.ResponseWriter, r *http.Request) {
			deadline <- r.Header.Get(wire.Deadline)
			select {
			case <-r.Context().Done():
				close(canceled)
			case <-time.After(10 * time.Second):
			}
		})
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+"/s/a", nil)
		req.Header.Set(wire.Deadline, "900ms")
		go (&backgroundRequest{req}).run()
		d, err := time.ParseDuration(<-deadline)
		Expect(err).NotTo(HaveOccurred())
		Expect(d).To(And(BeNumerically(">", 0), BeNumerically("<=", 900*time.Millisecond)))
		cancel()
		Eventually(canceled, "5s").Should(BeClosed())
	})

	for _, tc := range []struct {
		name, method string
		handler      func(n int64, w http.ResponseWriter)
		status       int
		outcome      string
		runs         int64
	}{
		{"idempotent call that fails", http.MethodGet, func(_ int64, w http.ResponseWriter) { w.WriteHeader(500) }, 500, "answered", 1},
		{"shed call", http.MethodPost, func(_ int64, w http.ResponseWriter) {
			w.Header().Set(wire.Executed, wire.ExecutedNone)
			w.WriteHeader(503)
		}, 503, "notrun", 1},
		{"call that must not repeat and breaks", http.MethodPost, func(int64, http.ResponseWriter) { panic(http.ErrAbortHandler) }, 502, "unknown", 1},
		{"call that brings the answer to another", http.MethodPost, func(_ int64, w http.ResponseWriter) {
			w.Header().Set(wire.AttemptID, "other")
			_, _ = io.WriteString(w, "not yours")
		}, 502, "unknown", 1},
	} {
		It("report the outcome of a "+tc.name, func() {
			var n atomic.Int64
			srv := startEntry(func(w http.ResponseWriter, _ *http.Request) { tc.handler(n.Add(1), w) })
			req, _ := http.NewRequest(tc.method, srv.URL+"/s/a", nil)
			req.Header.Set(wire.IdempotencyKey, fmt.Sprint("key-", tc.name))
			res, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = res.Body.Close() }()
			Expect(res.StatusCode).To(Equal(tc.status))
			Expect(res.Header.Get(wire.Outcome)).To(Equal(tc.outcome))
			Expect(n.Load()).To(Equal(tc.runs))
		})
	}
})

// backgroundRequest sends a request whose result is ignored; its run method is a goroutine.
type backgroundRequest struct{ req *http.Request }

func (b *backgroundRequest) run() {
	if res, err := http.DefaultClient.Do(b.req); err == nil {
		_ = res.Body.Close()
	}
}
