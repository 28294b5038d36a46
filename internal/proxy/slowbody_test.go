package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/proxy"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// watchedClock tells when it has been read.
type watchedClock struct {
	clock.Clock
	read chan struct{}
}

func (c *watchedClock) Now() time.Time {
	now := c.Clock.Now()
	select {
	case c.read <- struct{}{}:
	default:
	}
	return now
}

// The time of a call counts from the arrival of its head. A body that comes slowly uses it up, and one that does not come ends
// the call, as nothing has been sent to an upstream.
var _ = Describe("A body that comes slowly", func() {
	for _, tc := range []struct {
		name    string
		chunked bool
		// pause is the time between the two halves of the body; the second half is never sent if it is 0.
		pause  time.Duration
		status int
	}{
		{"and stops", false, 0, http.StatusRequestTimeout},
		{"in chunks, and stops", true, 0, http.StatusRequestTimeout},
		{"but within the deadline", false, 150 * time.Millisecond, http.StatusOK},
		{"in chunks, but within the deadline", true, 150 * time.Millisecond, http.StatusOK},
	} {
		It("does not lengthen the deadline of the call: "+tc.name, func() {
			const limit = 400 * time.Millisecond
			left := make(chan string, 1)
			srv := startEntry(func(_ http.ResponseWriter, r *http.Request) { left <- r.Header.Get(wire.Deadline) })
			entryClock := &watchedClock{clock.Wall(), make(chan struct{}, 1)}
			srv.Config.Handler.(*proxy.Handler).Clock = entryClock
			c, err := net.Dial("tcp", srv.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			head, body := framed(tc.chunked, 100, "")
			head = strings.Replace(head, "Host:", fmt.Sprintf("%s: %s\r\nHost:", wire.Deadline, limit), 1)
			start := time.Now()
			_, err = io.WriteString(c, head+body[:50])
			Expect(err).NotTo(HaveOccurred())
			if tc.pause > 0 {
				// The entry first reads the clock when the head arrives, which may be long after it was sent.
				Eventually(entryClock.read, "2s").Should(Receive())
				time.Sleep(tc.pause)
				_, err = io.WriteString(c, body[50:])
				Expect(err).NotTo(HaveOccurred())
			}
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.StatusCode).To(Equal(tc.status))
			Expect(time.Since(start)).To(BeNumerically("<", limit+100*time.Millisecond))
			if tc.status == http.StatusOK {
				d, err := time.ParseDuration(<-left)
				Expect(err).NotTo(HaveOccurred())
				Expect(d).To(BeNumerically("<=", limit-tc.pause))
				return
			}
			Expect(res.Header.Get(wire.Outcome)).To(Equal("notrun"))
			Expect(res.Close).To(BeTrue())
		})
	}
})
