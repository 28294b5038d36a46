package resets_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/resets"
)

// answer is what a peer sends before it ends the connection.
const answer = "part"

// peer accepts one connection, reads the first byte of an upload, sends answer and then does what end does; its run method is a
// goroutine.
type peer struct {
	listener net.Listener
	end      func(c *net.TCPConn)
	done     chan struct{}
}

func (p *peer) run() {
	defer close(p.done)
	c, err := p.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = io.ReadFull(c, make([]byte, 1))
	_, _ = io.WriteString(c, answer)
	p.end(c.(*net.TCPConn))
}

// drainFor reads what arrives for a time.
func drainFor(c *net.TCPConn, d time.Duration) {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, _ = io.Copy(io.Discard, c)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// upload writes to a connection until that fails; its run method is a goroutine.
type upload struct {
	conn net.Conn
	done chan error
}

func (u *upload) run() {
	part := make([]byte, 8<<10)
	for {
		if _, err := u.conn.Write(part); err != nil {
			u.done <- err
			return
		}
	}
}

// Guards against a reset that is read as a regular end: the write of an upload gets the report of the reset, and the response that it
// cut looks complete.
var _ = Describe("What is read while an upload goes on", func() {
	const rounds = 50
	for _, tc := range []struct {
		name string
		end  func(c *net.TCPConn)
		// readAfter is set if nothing is read before the upload has failed.
		readAfter bool
		// whole is set if the peer has ended what it sends in order.
		whole bool
	}{
		{"breaks off with a reset", func(c *net.TCPConn) { drainFor(c, 2*time.Millisecond); reset(c) }, false, false},
		{"breaks off with a reset that the upload has noticed", func(c *net.TCPConn) { drainFor(c, 2*time.Millisecond); reset(c) }, true, false},
		{"breaks off with a reset by a peer that reads no more", reset, false, false},
		{"breaks off with a peer that closes and leaves data unread", func(*net.TCPConn) {}, false, false},
		{"is whole if the peer goes on reading", func(c *net.TCPConn) { _ = c.CloseWrite(); drainFor(c, 5*time.Millisecond) }, false, true},
		{"is whole if the peer resets the connection after the end", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			drainFor(c, 2*time.Millisecond)
			reset(c)
		}, true, true},
	} {
		It(tc.name, func() {
			for range rounds {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				Expect(err).NotTo(HaveOccurred())
				p := &peer{ln, tc.end, make(chan struct{})}
				go p.run()
				c, err := resets.DialContext(&net.Dialer{})(context.Background(), "tcp", ln.Addr().String())
				Expect(err).NotTo(HaveOccurred())
				Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
				u := &upload{c, make(chan error, 1)}
				go u.run()
				if tc.readAfter {
					Expect(<-u.done).To(HaveOccurred())
				}
				got, err := io.ReadAll(c)
				if tc.whole {
					Expect(err).NotTo(HaveOccurred())
					Expect(string(got)).To(Equal(answer))
				} else {
					Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "read %q, error %v", got, err)
				}
				Expect(c.Close()).To(Succeed())
				<-p.done
				Expect(ln.Close()).To(Succeed())
			}
		})
	}

	It("does not make an upload stop that the peer still reads", func() {
		const size = 1 << 20
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		received := make(chan int64, 1)
		p := &peer{ln, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			n, _ := io.Copy(io.Discard, c)
			received <- n
		}, make(chan struct{})}
		go p.run()
		c, err := resets.DialContext(&net.Dialer{})(context.Background(), "tcp", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Write(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(answer))
		_, err = c.Write(make([]byte, size))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Close()).To(Succeed())
		Expect(<-received).To(BeEquivalentTo(size))
	})
})
