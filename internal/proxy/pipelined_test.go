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

// Guards against a response whose deadline passes before its turn and that is begun at its turn all the same: it is cut, and its
// connection ends with the responses to requests behind it, which have run.
var _ = Describe("A response whose deadline passes before its turn", func() {
	const (
		left = 100 * time.Millisecond
		busy = 4 * left
	)
	for _, tc := range []struct {
		name string
		size int
		// chunked is set if the response has no length.
		chunked bool
		method  string
		status  int
	}{
		{"that is streamed", 3 * tune.MaxBufferedResponse, false, http.MethodGet, http.StatusGatewayTimeout},
		{"that is streamed, in chunks", 3 * tune.MaxBufferedResponse, true, http.MethodGet, http.StatusGatewayTimeout},
		{"that is buffered", tune.MaxBufferedResponse, false, http.MethodGet, http.StatusOK},
		{"without a body", 3 * tune.MaxBufferedResponse, false, http.MethodHead, http.StatusOK},
	} {
		It("does not take the responses behind it along: one "+tc.name, func() {
			addr := serveSplit(startEntry(func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/busy":
					time.Sleep(busy)
				case "/late":
					if !tc.chunked {
						w.Header().Set("Content-Length", fmt.Sprint(tc.size))
					}
					_, _ = io.WriteString(w, strings.Repeat("x", tc.size))
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
