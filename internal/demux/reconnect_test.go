package demux_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// reconnecting is a caller that sends each request on a new connection, without a pause, until the listener is closed.
type reconnecting struct {
	addr     string
	answered *atomic.Int64
	wg       *sync.WaitGroup
	// ended is set when the caller is to end although the listener is open.
	ended *atomic.Bool
}

func (r *reconnecting) run() {
	defer r.wg.Done()
	for !r.ended.Load() {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			return
		}
		if newDialed(c).exchange(get("/a")) == http.StatusOK {
			r.answered.Add(1)
		}
		_ = c.Close()
	}
}

// A stop that closes the listener only when no connection comes for 4 ms does not end while refused callers connect again at once.
var _ = Describe("A planned stop closes the listener although callers connect again as soon as they are answered", func() {
	for _, tc := range []struct {
		name    string
		callers int
	}{
		{"one caller", 1},
		{"twelve callers", 12},
	} {
		It("from "+tc.name, func() {
			s := startSized(1)
			var answered atomic.Int64
			var ended atomic.Bool
			var wg sync.WaitGroup
			for range tc.callers {
				wg.Add(1)
				go (&reconnecting{s.addr, &answered, &wg, &ended}).run()
			}
			Eventually(answered.Load, "2s").Should(BeNumerically(">", 20))
			var err error
			Eventually(shutdown(s.listener, 3*time.Second), "4s").Should(Receive(&err))
			ended.Store(true)
			wg.Wait()
			Expect(err).NotTo(HaveOccurred())
			Expect(s.begun.Load()).To(Equal(answered.Load()))
		})
	}
})
