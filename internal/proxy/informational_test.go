package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/wire"
)

// Informational responses of an attempt that has been given up used to be written while, or after, the final response was:
// the race detector shows this, and a concurrent write of the header map ends the process.
var _ = Describe("Informational responses", func() {
	for _, tc := range []struct {
		name     string
		deadline time.Duration
		// answers is set if the upstream answers; otherwise it waits until the call has been given up.
		answers  bool
		statuses []int
	}{
		// Once the run time is known, a call that cannot meet its deadline is refused before it is sent.
		{"of a call whose deadline passes meanwhile", 10 * time.Millisecond, false, []int{http.StatusGatewayTimeout, http.StatusServiceUnavailable}},
		{"of a call that is answered", time.Second, true, []int{http.StatusOK}},
	} {
		It("never mix with the final response: "+tc.name, func() {
			var hints atomic.Int64
			srv := startEntry(func(w http.ResponseWriter, r *http.Request) {
				for i := 0; i < 12 && r.Context().Err() == nil; i++ {
					w.Header().Set("Link", fmt.Sprint("</", i, ">"))
					w.WriteHeader(http.StatusEarlyHints)
					hints.Add(1)
					time.Sleep(time.Millisecond)
				}
				w.Header().Del("Link")
				if !tc.answers {
					// A busy host may run the timers of the deadline late, and an answer that is there by then is delivered.
					<-r.Context().Done()
				}
				_, _ = io.WriteString(w, "ok")
			})
			for range 20 {
				c, err := net.Dial("tcp", srv.Listener.Addr().String())
				Expect(err).NotTo(HaveOccurred())
				Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
				_, err = fmt.Fprintf(c, "GET /s/a HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", wire.Deadline, tc.deadline)
				Expect(err).NotTo(HaveOccurred())
				in := bufio.NewReader(c)
				final := 0
				for final == 0 {
					res, err := http.ReadResponse(in, nil)
					Expect(err).NotTo(HaveOccurred())
					if res.StatusCode == http.StatusEarlyHints {
						continue
					}
					final = res.StatusCode
					Expect(res.Header).NotTo(HaveKey("Link"))
					_, _ = io.Copy(io.Discard, res.Body)
				}
				Expect(tc.statuses).To(ContainElement(final))
				Expect(c.SetDeadline(time.Now().Add(20 * time.Millisecond))).To(Succeed())
				_, err = in.ReadByte()
				Expect(err).To(MatchError(ContainSubstring("timeout")), "bytes after the final response")
				_ = c.Close()
			}
			Expect(hints.Load()).To(BeNumerically(">", 0))
		})
	}
})
