package demux_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
)

// ownAnswer is one call of Listener.OnServerAnswer.
type ownAnswer struct {
	status int
	why    reason.Reason
}

// A 4xx of net/http looked like one of an upstream, as nothing logged or counted it.
var _ = Describe("An answer of the server", func() {
	chunkedHead := "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n"
	for _, tc := range []struct {
		name, send string
		want       []ownAnswer
	}{
		{"to a request that it passes on is not reported", get("/a") + get("/b"), nil},
		{"to a chunked request that it passes on is not reported", chunkedHead + get("/a"), nil},
		{"to a malformed head", "GET /a HTTP/1.1\r\nno field\r\n\r\n", []ownAnswer{{http.StatusBadRequest, reason.Malformed}}},
		{"to a malformed head behind another request", get("/a") + "GET /a HTTP/1.1\r\nno field\r\n\r\n", []ownAnswer{{http.StatusBadRequest, reason.Malformed}}},
		{"to a malformed head behind a chunked request", chunkedHead + "GET /a HTTP/1.1\r\nno field\r\n\r\n", []ownAnswer{{http.StatusBadRequest, reason.Malformed}}},
		{"to a head that is too long", "GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1100<<10) + "\r\n\r\n", []ownAnswer{{http.StatusRequestHeaderFieldsTooLarge, reason.HeaderTooLarge}}},
		{"to an unknown version", "GET /a HTTP/3.7\r\nHost: a\r\n\r\n", []ownAnswer{{http.StatusHTTPVersionNotSupported, reason.Unsupported}}},
		{"to an unknown transfer coding", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n", []ownAnswer{{http.StatusNotImplemented, reason.Unsupported}}},
		{"to an unknown expectation", "POST /a HTTP/1.1\r\nHost: a\r\nExpect: x\r\nContent-Length: 0\r\n\r\n", []ownAnswer{{http.StatusExpectationFailed, reason.Unsupported}}},
		{"to a request for its options", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", []ownAnswer{{http.StatusOK, reason.ServerOptions}}},
		{"that does not come, to a late head", "GET /a HTTP/1.1\r\nHost:", []ownAnswer{{0, reason.HeaderLate}}},
		{"that does not come, to a late head behind another request", get("/a") + "GET /a", []ownAnswer{{0, reason.HeaderLate}}},
	} {
		It("is reported: "+tc.name, func() {
			f := newFixture(&bounds.Bounds{ReadHeaderTimeout: 100 * time.Millisecond, IdleTimeout: 300 * time.Millisecond})
			f.handler.release("/a", "/b", "/c")
			got := make(chan ownAnswer, 10)
			f.listener.OnServerAnswer = func(_ netip.AddrPort, status int, why reason.Reason) { got <- ownAnswer{status, why} }
			go func() { _, _ = io.WriteString(f.conn, tc.send) }()
			// The server itself closes no idle connection that it reads further requests from.
			Expect(f.conn.SetReadDeadline(time.Now().Add(600 * time.Millisecond))).To(Succeed())
			_, _ = io.Copy(io.Discard, f.conn)
			for _, want := range tc.want {
				Eventually(got).Should(Receive(Equal(want)))
			}
			Consistently(got, 20*time.Millisecond).ShouldNot(Receive())
		})
	}
})
