package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/demux"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// serveSplit serves the handler of an entry on a second address, behind a demux.Listener, and returns the address.
func serveSplit(entry *httptest.Server) string {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: entry.Config.Handler, ReadHeaderTimeout: time.Second}
	go func() { _ = demux.New(on, clock.Wall()).Serve(s) }()
	DeferCleanup(s.Close)
	return on.Addr().String()
}

// framed returns the head and the body of an upload whose last bytes are tail, with the body as one chunk if it is chunked.
func framed(chunked bool, size int, tail string) (head, body string) {
	body = strings.Repeat("x", size-len(tail)) + tail
	if !chunked {
		return fmt.Sprintf("POST /s/up HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size), body
	}
	return "POST /s/up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
}

// sendInParts writes text, with a pause between two parts of it.
func sendInParts(c net.Conn, text string, pause time.Duration) error {
	const partBytes = 20_000
	for ; len(text) > partBytes && pause > 0; time.Sleep(pause) {
		if _, err := io.WriteString(c, text[:partBytes]); err != nil {
			return err
		}
		text = text[partBytes:]
	}
	_, err := io.WriteString(c, text)
	return err
}

// A response that comes before the end of an upload leaves a part of the body unread. If the connection went on, that part
// would be read as the next request.
var _ = Describe("An upload that is answered before its end", func() {
	const smuggled = "GET /s/smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, tc := range []struct {
		name    string
		chunked bool
		size    int
		status  int
		split   bool
		// path replaces the path of the upload; "" keeps it.
		path string
	}{
		{"of known length by an upstream", false, tune.MaxReplayBody + 1000, 403, false, ""},
		{"of known length by an upstream, behind a split connection", false, tune.MaxReplayBody + 1000, 403, true, ""},
		{"in chunks by an upstream", true, 2 * tune.MaxReplayBody, 403, false, ""},
		{"in chunks by an upstream, behind a split connection", true, 2 * tune.MaxReplayBody, 403, true, ""},
		{"with a success by an upstream, behind a split connection", false, tune.MaxReplayBody + 1000, 200, true, ""},
		{"with a server error by an upstream, behind a split connection", false, tune.MaxReplayBody + 1000, 500, true, ""},
		{"of known length by a refusal", false, tune.MaxReplayBody + 1000, 404, false, "/none/up"},
		{"in chunks by a refusal, behind a split connection", true, 2 * tune.MaxReplayBody, 404, true, "/none/up"},
	} {
		It("ends the connection: "+tc.name, func() {
			for _, pause := range []time.Duration{0, 0, 0, 20 * time.Millisecond} {
				var runs atomic.Int64
				entry := startEntry(func(w http.ResponseWriter, r *http.Request) {
					if strings.Contains(r.URL.Path, "smuggled") {
						runs.Add(1)
						return
					}
					_ = http.NewResponseController(w).EnableFullDuplex()
					w.Header().Set("Content-Length", "0")
					w.WriteHeader(tc.status)
					_ = http.NewResponseController(w).Flush()
					_, _ = io.Copy(io.Discard, r.Body)
				})
				addr := entry.Listener.Addr().String()
				if tc.split {
					addr = serveSplit(entry)
				}
				c, err := net.Dial("tcp", addr)
				Expect(err).NotTo(HaveOccurred())
				Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
				head, body := framed(tc.chunked, tc.size, smuggled+smuggled)
				if tc.path != "" {
					head = strings.Replace(head, "/s/up", tc.path, 1)
				}
				cut := strings.Index(body, smuggled)
				err = sendInParts(c, head+body[:cut], pause)
				// The entry may close the connection behind its response before the caller has sent all of this.
				if err != nil {
					Expect(err).To(Or(MatchError(syscall.EPIPE), MatchError(syscall.ECONNRESET)))
				}
				in := bufio.NewReader(c)
				res, err := http.ReadResponse(in, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(res.StatusCode).To(Equal(tc.status))
				_, _ = io.Copy(io.Discard, res.Body)
				// The connection may be closed by now.
				_, _ = io.WriteString(c, body[cut:])
				next, err := http.ReadResponse(in, nil)
				Expect(err).To(HaveOccurred(), "a second response: %v", next)
				Expect(runs.Load()).To(BeZero())
				_ = c.Close()
			}
		})
	}
})
