package demux_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/balsamvale/balsamvale/internal/demux"
	"github.com/balsamvale/balsamvale/internal/memory"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// http2Heads returns the start of a connection of HTTP/2 with a request for each block of header fields, after the usual ones. The
// frames have padding and a priority if both is set.
func http2Heads(both bool, blocks ...string) string {
	var out, block bytes.Buffer
	out.WriteString(http2.ClientPreface)
	f, e := http2.NewFramer(&out, nil), hpack.NewEncoder(&block)
	Expect(f.WriteSettings()).To(Succeed())
	for i, rest := range blocks {
		for _, field := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/a"}, {":authority", "a"}} {
			Expect(e.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})).To(Succeed())
		}
		block.WriteString(rest)
		id := uint32(2*i + 1)
		p := http2.HeadersFrameParam{StreamID: id, EndStream: true}
		if both {
			p.PadLength, p.Priority = 200, http2.PriorityParam{Weight: 9}
		}
		p.BlockFragment = block.Next(8 << 10)
		p.EndHeaders = block.Len() == 0
		Expect(f.WriteHeaders(p)).To(Succeed())
		for block.Len() > 0 {
			part := block.Next(8 << 10)
			Expect(f.WriteContinuation(id, block.Len() == 0, part)).To(Succeed())
		}
		Expect(f.WritePing(false, [8]byte{})).To(Succeed())
	}
	return out.String()
}

// fields returns the encoding of a number of header fields of about 1 KB, which are not kept in the table of the connection.
func fields(n int) string {
	var block bytes.Buffer
	e := hpack.NewEncoder(&block)
	for range n {
		Expect(e.WriteField(hpack.HeaderField{Name: "x", Value: strings.Repeat("x", 1<<10), Sensitive: true})).To(Succeed())
	}
	return block.String()
}

// Heads that the server reads by itself, in HTTP/2 and behind a chunked request, could be as long as its limit on each connection.
var _ = Describe("The memory for heads that the server reads", func() {
	indexed := "\x40\x01a\x01b"
	for _, tc := range []struct {
		name, send string
		// fits is set if all requests are served.
		fits   bool
		served int
	}{
		{"holds one of HTTP/1 after the other", chunkedRequest + strings.Repeat(longHead(300<<10), 10), true, 11},
		{"ends the connection of a longer one of HTTP/1", chunkedRequest + longHead(900<<10), false, 1},
		{"holds one of HTTP/2 after the other", http2Heads(false, fields(90), fields(90), fields(90)), true, 3},
		{"holds one of HTTP/2 after the other, in padded frames", http2Heads(true, fields(90), fields(90), fields(90)), true, 3},
		{"ends the connection of a longer one of HTTP/2", http2Heads(false, fields(1), fields(120)), false, 1},
		{"ends the connection of a longer one of HTTP/2, in padded frames", http2Heads(true, fields(1), fields(120)), false, 1},
		{"holds one of HTTP/2 that repeats a field", http2Heads(false, indexed+strings.Repeat("\xbe", 5000)), true, 1},
		{"ends the connection of one of HTTP/2 that repeats a field more often", http2Heads(false, fields(1), indexed+strings.Repeat("\xbe", 20000)), false, 1},
	} {
		for _, step := range []int{1 << 20, 1001} {
			It(tc.name+", in parts of "+strconv.Itoa(step), func() {
				on, err := net.Listen("tcp", "127.0.0.1:0")
				Expect(err).NotTo(HaveOccurred())
				l := demux.New(on, clock.Wall())
				l.Memory = memory.New(1 << 20)
				got := make(chan ownAnswer, 10)
				l.OnServerAnswer = func(_ netip.AddrPort, status int, why reason.Reason) { got <- ownAnswer{status, why} }
				served := make(chan string, 20)
				var p http.Protocols
				p.SetHTTP1(true)
				p.SetUnencryptedHTTP2(true)
				s := &http.Server{MaxHeaderBytes: tune.ServerHeadBytes, Protocols: &p, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { served <- r.URL.Path })}
				go func() { _ = l.Serve(s) }()
				DeferCleanup(s.Close)
				c, err := net.Dial("tcp", on.Addr().String())
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(func() { _ = c.Close() })
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_, _ = io.Copy(io.Discard, c)
				}()
				for rest := tc.send; rest != ""; {
					n := min(step, len(rest))
					// The write fails if the connection has ended.
					_, _ = io.WriteString(c, rest[:n])
					rest = rest[n:]
				}
				for range tc.served {
					Eventually(served, "5s").Should(Receive())
				}
				if !tc.fits {
					Eventually(got, "5s").Should(Receive(Equal(ownAnswer{0, reason.NoMemory})))
					Eventually(ended, "5s").Should(BeClosed())
				}
				Consistently(got, "50ms").ShouldNot(Receive(), "a second answer")
				Expect(served).NotTo(Receive())
				_ = c.Close()
				Eventually(l.Memory.Held, "5s").Should(BeZero())
			})
		}
	}
})

// longHead returns a request with a head of some n bytes.
func longHead(n int) string {
	return "GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", n) + "\r\n\r\n"
}

// pingLen is the length of a frame of type PING, in bytes.
const pingLen = 17

// A header block of HTTP/2 that did not end had no limit in time while another call of its connection ran, and holds memory.
var _ = Describe("A head over HTTP/2", func() {
	for _, tc := range []struct {
		name string
		// cut is the number of bytes that are not sent at the end of the second request.
		cut  int
		ends bool
	}{
		{"ends the connection if it does not come in time", pingLen + 10, true},
		{"leaves the connection open if it has come", 0, false},
	} {
		It(tc.name, func() {
			f := newFixture(&bounds.Bounds{ReadHeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Minute})
			got := make(chan ownAnswer, 10)
			f.listener.OnServerAnswer = func(_ netip.AddrPort, status int, why reason.Reason) { got <- ownAnswer{status, why} }
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = io.Copy(io.Discard, f.conn)
			}()
			sent := http2Heads(false, fields(1), fields(20))
			f.send(sent[:len(sent)-tc.cut])
			Eventually(f.handler.snapshot(&f.handler.started)).Should(ContainElement("/a"))
			if tc.ends {
				Eventually(got, "2s").Should(Receive(Equal(ownAnswer{0, reason.HeaderLate})))
				Eventually(ended, "2s").Should(BeClosed())
				return
			}
			Consistently(ended, "600ms").ShouldNot(BeClosed())
			Expect(got).NotTo(Receive())
		})
	}
})
