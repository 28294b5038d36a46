package reqlog_test

import (
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/balsamvale/balsamvale/internal/reqlog"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

var _ = Describe("Handler", func() {
	It("writes who sent what, and passes the request on", func() {
		lines := gbytes.NewBuffer()
		next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
		srv := httptest.NewServer(reqlog.New(next, clock.Wall(), lines))
		DeferCleanup(srv.Close)
		req, _ := http.NewRequest(http.MethodPost, srv.URL+"/a?b=c", strings.NewReader("x"))
		req.Host = "entry:1"
		req.Header.Set("X-Own", "y")
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		_ = res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusTeapot))
		address := strings.TrimPrefix(srv.URL, "http://")
		Expect(string(lines.Contents())).To(MatchRegexp(`^upstream %s, \S+: POST /a\?b=c from 127\.0\.0\.1:\d+, host entry:1, map\[.*X-Own:\[y\].*\]\n$`, address))
	})
})
