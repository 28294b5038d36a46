package sender_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/sender"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// Guards against a response with a status outside of the protocol: net/http parses 000 to 099 and panics when they are
// passed on, and a caller cannot tell what 600 means.
var _ = Describe("A response whose status is none of the protocol", func() {
	for _, tc := range []struct {
		status string
		valid  bool
	}{
		{"000 ", false}, {"000 OK", false}, {"001 OK", false}, {"099 Odd", false}, {"101 Switching Protocols", false},
		{"200 OK", true}, {"404 Not Found", true}, {"599 Odd", true},
		{"600 Odd", false}, {"999 Odd", false}, {"-01 Odd", false}, {"1000 Odd", false}, {"0 Odd", false},
	} {
		It("is no answer to the call, nor to a probe: "+tc.status, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(l.Close)
			u := &cuttingUpstream{listener: l, cuts: make(chan string, 1)}
			go u.loop()
			DeferCleanup(func() { close(u.cuts) })
			u.cuts <- "HTTP/1.1 " + tc.status + "\r\nContent-Length: 2\r\n\r\nok"
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			res, out := sender.New(clock.Wall(), header.Default()).Send(ctx, &outreq.Request{
				Method: http.MethodPost, RequestURI: "/", Header: http.Header{}, Body: []byte("x"), Buffered: true,
				ID: "1", Addr: netip.MustParseAddrPort(l.Addr().String()), SentAt: time.Now(),
			})
			u.cuts <- "HTTP/1.1 " + tc.status + "\r\nContent-Length: 2\r\n\r\nok"
			probed := sender.New(clock.Wall(), header.Default()).Probe(ctx, "u", netip.MustParseAddrPort(l.Addr().String()), "/load")
			if tc.valid {
				Expect(probed.Cause).To(Equal(cause.None))
				Expect(res).NotTo(BeNil())
				Expect(res.Body.Close()).To(Succeed())
				return
			}
			Expect(probed.Cause).To(BeElementOf(cause.Invalid, cause.ConnBroken))
			Expect(res).To(BeNil())
			Expect(out.Cause).To(BeElementOf(cause.Invalid, cause.ConnBroken))
			Expect(out.MayHaveRun()).To(BeTrue())
		})
	}
})
