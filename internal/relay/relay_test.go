package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/relay"
	"github.com/balsamvale/balsamvale/internal/resets"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// echo serves connections that send back what they get.
type echo struct{ net.Listener }

func (e echo) run() {
	for {
		c, err := e.Accept()
		if err != nil {
			return
		}
		go echoed{c}.run()
	}
}

type echoed struct{ net.Conn }

func (e echoed) run() {
	_, _ = io.Copy(e.Conn, e.Conn)
	_ = e.Close()
}

// exchange sends a byte and reads one.
func exchange(c net.Conn) error {
	if _, err := c.Write([]byte("a")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

var _ = Describe("a relay", func() {
	var r *relay.Relay
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}
	BeforeEach(func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go echo{ln}.run()
		r, err = relay.New(clock.Wall(), netip.MustParseAddrPort(ln.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Close)
	})

	for _, tc := range []struct {
		name  string
		fault func()
		// open and fresh are the errors on a connection from before the fault, and on a later one.
		open, fresh error
	}{
		{"forwards without a fault", func() {}, nil, nil},
		{"silences the open connections", func() { r.Silence(1) }, os.ErrDeadlineExceeded, nil},
		{"resets the open connections", func() { r.Reset(1) }, syscall.ECONNRESET, nil},
		{"drops what comes back", func() { r.SetDropReplies(true) }, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{"delays both directions", func() { r.SetDelay(200 * time.Millisecond) }, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{"leaves the connections alone that are not in the share", func() { r.Silence(0) }, nil, nil},
	} {
		It(tc.name, func() {
			open := dial()
			Expect(exchange(open)).To(Succeed())
			tc.fault()
			got := []error{exchange(open), exchange(dial())}
			for i, want := range []error{tc.open, tc.fresh} {
				Expect(errors.Is(got[i], want)).To(BeTrue(), "%v, want %v", got[i], want)
			}
		})
	}

	It("carries so many bytes a second on all connections together, in each direction", func() {
		const rate, size = 200_000, 50_000
		r.SetRate(rate)
		conns := []net.Conn{dial(), dial()}
		begin := time.Now()
		for _, c := range conns {
			_, err := c.Write(make([]byte, size))
			Expect(err).NotTo(HaveOccurred())
		}
		for _, c := range conns {
			_, err := io.ReadFull(c, make([]byte, size))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(begin)).To(BeNumerically(">=", time.Duration(len(conns)*size)*time.Second/rate))
		r.SetRate(0)
		begin = time.Now()
		_, err := conns[0].Write(make([]byte, size))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(conns[0], make([]byte, size))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begin)).To(BeNumerically("<", size*time.Second/rate))
	})

	It("lets the data of a connection that has ended take no time of the others", func() {
		const rate, size = 100_000, 400_000
		r.SetRate(rate)
		gone, err := net.Dial("tcp", r.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = gone.Write(make([]byte, size))
		Expect(err).NotTo(HaveOccurred())
		Expect(gone.(*net.TCPConn).SetLinger(0)).To(Succeed())
		Expect(gone.Close()).To(Succeed())
		Expect(exchange(dial())).To(Succeed())
	})

	It("passes on the end of a stream after all its data", func() {
		c := dial()
		_, err := c.Write(make([]byte, 1<<20))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
		data, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(HaveLen(1 << 20))
	})

	// Guards against a part of a response that looks complete behind a relay.
	It("passes on a reset while data goes the other way", func() {
		for range 20 {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			upstream := &resetting{ln, make(chan struct{})}
			go upstream.run()
			front, err := relay.New(clock.Wall(), netip.MustParseAddrPort(ln.Addr().String()))
			Expect(err).NotTo(HaveOccurred())
			c, err := resets.DialContext(&net.Dialer{})(context.Background(), "tcp", front.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			close(upstream.connected)
			// Whether the write fails as well depends on when the reset arrives.
			_, _ = c.Write(make([]byte, 4<<20))
			_, err = io.ReadAll(c)
			Expect(err).To(HaveOccurred())
			_ = c.Close()
			front.Close()
			_ = ln.Close()
		}
	})
})

// resetting sends a byte on a connection once its caller has connected, reads for a moment and resets the connection. An earlier reset
// would fail the caller's dial.
type resetting struct {
	net.Listener
	connected chan struct{}
}

func (r *resetting) run() {
	c, err := r.Accept()
	if err != nil {
		return
	}
	<-r.connected
	_, _ = io.WriteString(c, "a")
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
	_, _ = io.Copy(io.Discard, c)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
