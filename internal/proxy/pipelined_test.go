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

	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Guards against a response that is cut on a connection of pipelined requests, as its deadline passes before or during its turn: the
// connection ends with the responses to requests behind it, which have run.
var _ = Describe("A response behind another one", func() {
	const (
		left = 200 * time.Millisecond
		size = 3 * tune.MaxBufferedResponse
		held = tune.MaxHeldResponse
	)
	for _, tc := range []struct {
		name string
		// busy is how long the response before it takes.
		busy   time.Duration
		method string
		size   int
		// chunked is set if the response has no length. pause is how long the upstream takes in the middle of it, and cut is set if it
		// then breaks off.
		chunked bool
		pause   time.Duration
		cut     bool
		status  int
	}{
		{"with its deadline before its turn, buffered", 2 * left, http.MethodGet, tune.MaxBufferedResponse, false, 0, false, http.StatusOK},
		{"with its deadline before its turn, without a body", 2 * left, http.MethodHead, size, false, 0, false, http.StatusOK},
		{"with its deadline before its turn, held", 2 * left, http.MethodGet, size, false, 0, false, http.StatusOK},
		{"with its deadline before its turn, held, of the greatest size", 2 * left, http.MethodGet, held, false, 0, false, http.StatusOK},
		{"with its deadline before its turn, too large", 2 * left, http.MethodGet, held + 1, false, 0, false, http.StatusGatewayTimeout},
		{"with its deadline before its turn, in chunks", 2 * left, http.MethodGet, size, true, 0, false, http.StatusGatewayTimeout},
		{"with its deadline before its turn and its end", 2 * left, http.MethodGet, size, false, 3 * left, false, http.StatusGatewayTimeout},
		{"with its deadline after its turn and before its end", left / 2, http.MethodGet, size, false, 3 * left, false, http.StatusGatewayTimeout},
		{"that breaks off before its turn", left / 2, http.MethodGet, size, false, 0, true, http.StatusBadGateway},
	} {
		It("leaves the connection to those behind it: one "+tc.name, func() {
			addr := serveSplit(startEntry(func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/busy":
					time.Sleep(tc.busy)
				case "/late":
					if !tc.chunked {
						w.Header().Set("Content-Length", fmt.Sprint(tc.size))
					}
					_, _ = io.WriteString(w, strings.Repeat("x", tc.size/2))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(tc.pause)
					if tc.cut {
						panic(http.ErrAbortHandler)
					}
					_, _ = io.WriteString(w, strings.Repeat("x", tc.size-tc.size/2))
					return
				}
				_, _ = io.WriteString(w, r.URL.Path)
			}))
			c, err := net.Dial("tcp", addr)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			_, err = fmt.Fprintf(c, "GET /s/busy HTTP/1.1\r\nHost: h\r\n\r\n%s /s/late HTTP/1.1\r\nHost: h\r\n%s: %v\r\n\r\nGET /s/behind HTTP/1.1\r\nHost: h\r\n\r\n", tc.method, wire.Deadline, left)
			Expect(err).NotTo(HaveOccurred())
			in := bufio.NewReader(c)
			read := func(method string) (status int, body string) {
				res, err := http.ReadResponse(in, &http.Request{Method: method})
				Expect(err).NotTo(HaveOccurred())
				data, err := io.ReadAll(res.Body)
				Expect(err).NotTo(HaveOccurred())
				return res.StatusCode, string(data)
			}
			status, body := read(http.MethodGet)
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal("/busy"))
			status, body = read(tc.method)
			Expect(status).To(Equal(tc.status))
			if status == http.StatusOK && tc.method == http.MethodGet {
				Expect(body).To(HaveLen(tc.size))
			}
			status, body = read(http.MethodGet)
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal("/behind"))
		})
	}
})
