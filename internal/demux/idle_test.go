package demux_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/demux"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// canceledCounter is a handler that works on /long for 15 ms and counts the requests whose context ends before.
type canceledCounter struct{ canceled atomic.Int64 }

func (h *canceledCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/long" {
		select {
		case <-time.After(15 * time.Millisecond):
		case <-r.Context().Done():
			h.canceled.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = io.WriteString(w, "ok")
}

// The server closes a virtual connection that is idle for its idle timeout. A request that is assigned to it at this moment must
// not cancel those that run on other virtual connections of the same caller.
var _ = Describe("A virtual connection that the server closes as idle", func() {
	for _, tc := range []struct {
		name        string
		idleTimeout time.Duration
	}{
		{"later than all requests", time.Minute},
		{"when it gets a request", 5 * time.Millisecond},
	} {
		It("leaves the other requests of its caller running: closed "+tc.name, func() {
			const rounds, step = 400, 20 * time.Microsecond
			on, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			h := &canceledCounter{}
			server := &http.Server{Handler: h, IdleTimeout: tc.idleTimeout}
			l := demux.New(on, clock.Wall())
			l.Bounds = func() *bounds.Bounds { return &bounds.Bounds{ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute} }
			go func() { _ = l.Serve(server) }()
			DeferCleanup(server.Close)
			var c *dialed
			for i := range rounds {
				// The deadline of a connection of a caller is 5 s.
				if c == nil || i%100 == 0 {
					c = dial(on.Addr().String())
				}
				// The first request leaves its virtual connection idle while the second runs; the third comes when it times out.
				_, _ = io.WriteString(c, get("/a")+get("/long"))
				time.Sleep(4500*time.Microsecond + time.Duration(i%25)*step)
				_, _ = io.WriteString(c, get("/a"))
				for range 3 {
					if c != nil && c.receive() != http.StatusOK {
						_ = c.Close()
						c = nil
					}
				}
			}
			Expect(h.canceled.Load()).To(BeZero())
		})
	}
})
