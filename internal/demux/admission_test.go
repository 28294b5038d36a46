package demux_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// steadyLoad sends requests to a listener that do not wait for the responses of others, until the listener takes no more.
type steadyLoad struct {
	addr     string
	answered atomic.Int64
	wg       sync.WaitGroup
}

const (
	// requestGap is the time between two requests of a steadyLoad.
	requestGap = 5 * time.Millisecond
	// longWork is what the handler takes, so that several requests of a connection are always in flight.
	longWork = 30 * time.Millisecond
)

// pipeline sends requests on one connection.
func (s *steadyLoad) pipeline() {
	defer s.wg.Done()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	s.wg.Add(1)
	go s.receive(c)
	for range 1000 {
		if _, err := io.WriteString(c, get("/a")); err != nil {
			return
		}
		time.Sleep(requestGap)
	}
}

// receive counts the responses on a connection.
func (s *steadyLoad) receive(c net.Conn) {
	defer s.wg.Done()
	d := newDialed(c)
	for d.receive() == http.StatusOK {
		s.answered.Add(1)
	}
}

// connect sends each request on a connection of its own.
func (s *steadyLoad) connect() {
	defer s.wg.Done()
	for range 1000 {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			return
		}
		s.wg.Add(1)
		go s.exchange(c)
		time.Sleep(requestGap)
	}
}

func (s *steadyLoad) exchange(c net.Conn) {
	defer s.wg.Done()
	defer func() { _ = c.Close() }()
	if newDialed(c).exchange(get("/a")) == http.StatusOK {
		s.answered.Add(1)
	}
}

// A stop that waits for callers to fall silent runs into the end of its time and cuts the latest requests.
var _ = Describe("A planned stop ends by itself and answers each request that it has begun", func() {
	for _, tc := range []struct {
		name string
		send func(*steadyLoad)
	}{
		{"while callers pipeline requests without waiting for responses", (*steadyLoad).pipeline},
		{"while callers open connections all the time", (*steadyLoad).connect},
	} {
		It(tc.name, func() {
			on, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			l, addr, begun := startSlowOn(on, longWork)
			load := &steadyLoad{addr: addr}
			for range 3 {
				load.wg.Add(1)
				go tc.send(load)
			}
			Eventually(load.answered.Load, "2s").Should(BeNumerically(">", 20))
			Eventually(shutdown(l, 3*time.Second), "1500ms").Should(Receive(BeNil()))
			load.wg.Wait()
			Expect(begun.Load()).To(Equal(load.answered.Load()))
		})
	}

	It("takes one more request from each connection once the shutdown has begun", func() {
		on, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l, addr, begun := startSlowOn(on, 100*time.Millisecond)
		c := dial(addr)
		_, err = io.WriteString(c, get("/a"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(begun.Load).Should(Equal(int64(1)))
		done := shutdown(l, 3*time.Second)
		time.Sleep(20 * time.Millisecond)
		_, err = io.WriteString(c, get("/a")+get("/a")+get("/a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.receive()).To(Equal(http.StatusOK))
		Expect(c.receive()).To(Equal(http.StatusOK))
		Expect(c.receive()).To(Equal(0))
		Expect(begun.Load()).To(Equal(int64(2)))
		Eventually(done).Should(Receive(BeNil()))
	})

	// Requests that are dropped behind the last one cost their callers the time until they send them again.
	It("drops no request of a caller that falls silent before the shutdown begins", func() {
		l, addr, begun := startSlow()
		c := dial(addr)
		Expect(c.exchange(get("/a"))).To(Equal(http.StatusOK))
		l.Drain()
		_, err := io.WriteString(c, get("/a")+get("/a")+get("/a"))
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			Expect(c.receive()).To(Equal(http.StatusOK))
		}
		_, err = c.in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(begun.Load()).To(Equal(int64(4)))
	})
})
