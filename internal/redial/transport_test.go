package redial_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/redial"
)

// silentListener accepts connections that all go silent at once: nothing that is sent on them arrives any more, and nothing
// is reset. Connections that are accepted later work.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silentConn
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sc := &silentConn{Conn: c, silent: make(chan struct{})}
	l.conns = append(l.conns, sc)
	return sc, nil
}

// silence makes the open connections go silent.
func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		close(c.silent)
	}
	l.conns = nil
}

// silentConn is a connection that swallows what is written and read once silent is closed.
type silentConn struct {
	net.Conn
	silent chan struct{}
}

func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		select {
		case <-c.silent:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

func (c *silentConn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Guards against calls to the store that time out one after the other after all connections went silent: each took another
// idle connection that was silent too.
var _ = Describe("Transport", func() {
	const (
		shortIdle = 200 * time.Millisecond
		longIdle  = time.Minute
		timeout   = 500 * time.Millisecond
	)
	for _, tc := range []struct {
		name string
		// idle is how long unused connections are kept, wait the time between the silence and the first request, and failures how
		// many requests may end without a response.
		idle, wait time.Duration
		failures   int
	}{
		{"loses one request when idle connections went silent", shortIdle, 0, 1},
		{"loses one request when idle connections that are kept for long, as those to peers, went silent", longIdle, 0, 1},
		{"loses none when the connections have been idle for longer than they are kept", shortIdle, 3 * shortIdle, 0},
	} {
		It(tc.name, func() {
			held := make(chan struct{})
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/hold" {
					<-held
				}
			}))
			l := &silentListener{Listener: srv.Listener}
			srv.Listener = l
			srv.Start()
			DeferCleanup(srv.Close)
			t := redial.New(tc.idle)
			DeferCleanup(t.CloseIdleConnections)
			get := func(path string) error {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL+path, nil)
				Expect(err).NotTo(HaveOccurred())
				res, err := t.RoundTrip(req)
				if err != nil {
					return err
				}
				_, err = io.Copy(io.Discard, res.Body)
				return errorOr(res.Body.Close(), err)
			}

			By("leaving two idle connections")
			first := make(chan error, 1)
			go func() { first <- get("/hold") }()
			Eventually(func() int {
				l.mu.Lock()
				defer l.mu.Unlock()
				return len(l.conns)
			}).Should(Equal(1))
			Expect(get("/")).To(Succeed())
			close(held)
			Expect(<-first).To(Succeed())

			l.silence()
			time.Sleep(tc.wait)
			for range tc.failures {
				Expect(get("/")).NotTo(Succeed())
			}
			for range 3 {
				Expect(get("/")).To(Succeed())
			}
		})
	}
})

// errorOr returns the first of two errors that is not nil.
func errorOr(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
