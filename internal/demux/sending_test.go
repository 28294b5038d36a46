package demux_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/demux"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// A connection closes after its last response, in a stop or since the caller says so. When requests of a caller that pipelines arrive after the close,
// the system resets the connection, and the caller loses what it has not received of the response.
var _ = Describe("a connection that closes after its last response", func() {
	for _, tc := range []struct {
		name string
		size int
	}{
		{"a small response", 100}, {"a response larger than the buffers of the caller", 150_000}, {"a large response", 4_000_000},
	} {
		It(fmt.Sprintf("delivers the whole response while the caller goes on sending: %s", tc.name), func() {
			on, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(tc.size))
				_, _ = w.Write(bytes.Repeat([]byte("."), tc.size))
			})}
			l := demux.New(on, clock.Wall())
			go func() { _ = l.Serve(s) }()
			DeferCleanup(s.Close)
			for range 5 {
				c := dial(on.Addr().String())
				Expect(c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10)).To(Succeed())
				_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
				Expect(err).NotTo(HaveOccurred())
				go sendRepeatedly(c)
				res, err := http.ReadResponse(c.in, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(res.Close).To(BeTrue())
				time.Sleep(20 * time.Millisecond)
				body, err := io.ReadAll(res.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(HaveLen(tc.size))
			}
		})
	}
})

// sendRepeatedly sends requests until the connection ends, for half a second at most.
func sendRepeatedly(c net.Conn) {
	for range 500 {
		if _, err := io.WriteString(c, get("/a")); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
