package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// failingUpstream reads the start of each request and then does what end does; its loop method is a goroutine.
type failingUpstream struct {
	listener net.Listener
	end      func(c net.Conn)
}

func (u *failingUpstream) loop() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(c, make([]byte, 100<<10))
		u.end(c)
		_ = c.Close()
	}
}

// The entry stops to read an upload when its upstream fails or its deadline passes. That is no fault of the caller, and 4xx would
// be final.
var _ = Describe("An upload that the entry stops to read", func() {
	stall := func(net.Conn) { time.Sleep(time.Second) }
	for _, chunked := range []bool{false, true} {
		for _, tc := range []struct {
			name string
			end  func(c net.Conn)
			// goesOn is set if the caller goes on sending.
			goesOn bool
		}{
			{"after its upstream reset the connection", reset, true},
			{"after its upstream closed the connection", func(net.Conn) {}, true},
			{"after its upstream reset the connection, while the caller pauses", reset, false},
			{"after its upstream closed the connection, while the caller pauses", func(net.Conn) {}, false},
			{"at its deadline, while its upstream reads nothing", stall, true},
			{"at its deadline, while the caller pauses", stall, false},
		} {
			It(fmt.Sprintf("is not answered with 4xx: %s, chunked %t", tc.name, chunked), func() {
				for range 5 {
					on, err := net.Listen("tcp", "127.0.0.1:0")
					Expect(err).NotTo(HaveOccurred())
					go (&failingUpstream{on, tc.end}).loop()
					srv := startEntryFor(&httptest.Server{URL: "http://" + on.Addr().String()}, bodyLimit, func(f func()) { DeferCleanup(f) })
					c, err := net.Dial("tcp", serveSplit(srv))
					Expect(err).NotTo(HaveOccurred())
					Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
					size := 8 << 20
					head, body := framed(chunked, size, "")
					head = strings.Replace(head, "Host:", wire.Deadline+": 300ms\r\nHost:", 1)
					sent := 2 * tune.MaxReplayBody
					if tc.goesOn {
						sent = size
					}
					go func() { _, _ = io.WriteString(c, head+body[:sent]) }()
					res, err := http.ReadResponse(bufio.NewReader(c), nil)
					Expect(err).NotTo(HaveOccurred())
					Expect(res.StatusCode).To(BeNumerically(">=", 500))
					Expect(res.Header.Get(wire.Outcome)).To(Equal("unknown"))
					_ = c.Close()
					_ = on.Close()
				}
			})
		}
	}
})
