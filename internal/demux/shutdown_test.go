package demux_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/demux"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// startSlow serves a handler that takes 5 ms a request; the counter has the number of requests that it has begun.
func startSlow() (l *demux.Listener, addr string, begun *atomic.Int64) {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return startSlowOn(on, 5*time.Millisecond)
}

// startSlowOn is startSlow with a listener and the time that the handler takes.
func startSlowOn(on net.Listener, work time.Duration) (l *demux.Listener, addr string, begun *atomic.Int64) {
	begun = &atomic.Int64{}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(work)
		_, _ = io.WriteString(w, "ok")
	})}
	l = demux.New(on, clock.Wall())
	l.Bounds = func() *bounds.Bounds { return &bounds.Bounds{ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute} }
	go func() { _ = l.Serve(s) }()
	DeferCleanup(s.Close)
	return l, on.Addr().String(), begun
}

// starvedListener accepts nothing before a deadline is set, and the first calls of Accept after that find the deadline passed,
// without a look at the queue.
type starvedListener struct {
	*net.TCPListener
	deadlineSet chan struct{}
	once        sync.Once
	// late is the number of these calls that are left.
	late atomic.Int64
}

func (l *starvedListener) SetDeadline(t time.Time) error {
	l.once.Do(func() { close(l.deadlineSet) })
	return l.TCPListener.SetDeadline(t)
}

func (l *starvedListener) Accept() (net.Conn, error) {
	<-l.deadlineSet
	if l.late.Add(-1) >= 0 {
		return nil, os.ErrDeadlineExceeded
	}
	return l.TCPListener.Accept()
}

// dialed is a connection of a caller.
type dialed struct {
	net.Conn
	in *bufio.Reader
}

func dial(addr string) *dialed {
	c, err := net.Dial("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	return newDialed(c)
}

func newDialed(c net.Conn) *dialed { return &dialed{c, bufio.NewReader(c)} }

// exchange sends a request and returns the status of its response; 0 if the connection ended without one.
func (d *dialed) exchange(raw string) int {
	_, _ = io.WriteString(d, raw)
	return d.receive()
}

func (d *dialed) receive() int {
	res, err := http.ReadResponse(d.in, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// shutdown begins a planned stop and returns a channel that receives its error.
func shutdown(l *demux.Listener, limit time.Duration) <-chan error {
	l.Drain()
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		done <- l.Shutdown(ctx, time.Now().Add(250*time.Millisecond))
	}()
	return done
}

// A planned stop must answer each request that it has begun to read, and each connection that was opened before it.
var _ = Describe("A planned stop", func() {
	for _, tc := range []struct {
		name string
		// kept is the number of requests on the connection before the stop.
		kept                int
		first, before, rest string
	}{
		{"in a head on a new connection", 0, "", "GET /a HTTP/1.1\r\nHo", "st: a\r\n\r\n"},
		{"in a head on a kept connection", 2, get("/a"), "GET /a HTTP/1.1\r\nHo", "st: a\r\n\r\n"},
		{"in a body on a kept connection", 2, get("/a"), "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nxx", "yy"},
		{"in a body of unknown length", 0, "", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nx", "y\r\n0\r\n\r\n"},
		{"in a body of unknown length on a kept connection", 1, chunkedRequest, "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nx", "y\r\n0\r\n\r\n"},
	} {
		It("waits for the rest of a request: "+tc.name, func() {
			l, addr, _ := startSlow()
			c := dial(addr)
			for range tc.kept {
				Expect(c.exchange(tc.first)).To(Equal(http.StatusOK))
			}
			_, err := io.WriteString(c, tc.before)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(20 * time.Millisecond)
			done := shutdown(l, 3*time.Second)
			Consistently(done, 50*time.Millisecond).ShouldNot(Receive())
			Expect(c.exchange(tc.rest)).To(Equal(http.StatusOK))
			Eventually(done).Should(Receive(BeNil()))
		})
	}

	It("answers all connections that were opened before it", func() {
		const conns = 300
		l, addr, begun := startSlow()
		var callers []*dialed
		for range conns {
			c := dial(addr)
			_, err := io.WriteString(c, get("/a"))
			Expect(err).NotTo(HaveOccurred())
			callers = append(callers, c)
		}
		done := shutdown(l, 3*time.Second)
		for _, c := range callers {
			Expect(c.receive()).To(Equal(http.StatusOK))
		}
		Expect(begun.Load()).To(Equal(int64(conns)))
		Eventually(done).Should(Receive(BeNil()))
	})

	// On a busy host, the deadlines of a stop pass before the connections in the queue are looked at.
	It("answers the connections in the queue when the process gets no processor time", func() {
		on, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		starved := &starvedListener{TCPListener: on.(*net.TCPListener), deadlineSet: make(chan struct{})}
		starved.late.Store(2)
		l, addr, _ := startSlowOn(starved, 5*time.Millisecond)
		c := dial(addr)
		_, err = io.WriteString(c, get("/a"))
		Expect(err).NotTo(HaveOccurred())
		done := shutdown(l, 3*time.Second)
		Expect(c.receive()).To(Equal(http.StatusOK))
		Eventually(done).Should(Receive(BeNil()))
	})

	// A stop that began before the server did took the queue for empty, or ended in a panic.
	It("answers the connections in the queue although it begins before the server does", func() {
		on, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := demux.New(on, clock.Wall())
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
		DeferCleanup(s.Close)
		c := dial(on.Addr().String())
		_, err = io.WriteString(c, get("/a"))
		Expect(err).NotTo(HaveOccurred())
		done := shutdown(l, 3*time.Second)
		time.Sleep(20 * time.Millisecond)
		go func() { _ = l.Serve(s) }()
		Expect(c.receive()).To(Equal(http.StatusOK))
		Eventually(done).Should(Receive(BeNil()))
	})

	It("cuts no request that it has begun, under load on kept connections", func() {
		l, addr, begun := startSlow()
		var answered atomic.Int64
		var callers sync.WaitGroup
		for range 50 {
			c := dial(addr)
			callers.Add(1)
			go func() {
				defer callers.Done()
				for c.exchange(get("/a")) == http.StatusOK {
					answered.Add(1)
				}
			}()
		}
		time.Sleep(50 * time.Millisecond)
		Eventually(shutdown(l, 3*time.Second)).Should(Receive(BeNil()))
		callers.Wait()
		Expect(begun.Load()).To(Equal(answered.Load()))
	})

	It("closes connections without a request at once", func() {
		l, addr, _ := startSlow()
		fresh, kept, chunked := dial(addr), dial(addr), dial(addr)
		Expect(kept.exchange(get("/a"))).To(Equal(http.StatusOK))
		Expect(chunked.exchange(chunkedRequest)).To(Equal(http.StatusOK))
		time.Sleep(10 * time.Millisecond)
		Eventually(shutdown(l, 3*time.Second), "500ms").Should(Receive(BeNil()))
		for _, c := range []*dialed{fresh, kept, chunked} {
			_, err := c.in.ReadByte()
			Expect(err).To(MatchError(io.EOF))
		}
	})

	It("gives up when its time is over", func() {
		l, addr, _ := startSlow()
		c := dial(addr)
		_, _ = io.WriteString(c, "GET /a HT")
		time.Sleep(10 * time.Millisecond)
		Eventually(shutdown(l, 50*time.Millisecond)).Should(Receive(MatchError(context.DeadlineExceeded)))
	})
})
