package proxy_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"

	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/proxy"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// logBuffer is a strings.Builder for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// An unexpected error in one call must end that call alone: the process goes on, the log names the call, and the answer does
// not claim that the call has not run.
var _ = Describe("A panic", func() {
	for _, tc := range []struct {
		name   string
		broken func(h *proxy.Handler)
		// status is 0 if the connection ends without an answer.
		status  int
		outcome string
	}{
		{"in an attempt", func(h *proxy.Handler) {
			h.Send = func(context.Context, *outreq.Request) (*http.Response, result.Result) { panic("unexpected") }
		}, http.StatusBadGateway, "unknown"},
		{"in the choice of a rule", func(h *proxy.Handler) {
			h.Rule = func(string, string) (*rulrec.Rule, bool) { panic("unexpected") }
		}, 0, ""},
		{"in a claim", func(h *proxy.Handler) {
			h.Claim = func(context.Context, string, claim.Claim) (dedup.Result, claim.Claim) {
				panic("unexpected")
			}
		}, 0, ""},
	} {
		It("ends one call, is logged with its ID, and leaves the next call alone: "+tc.name, func() {
			up := httptest.NewServer(http.HandlerFunc(echo))
			DeferCleanup(up.Close)
			srv := startEntryFor(up, bodyLimit, func(f func()) { DeferCleanup(f) })
			h := srv.Config.Handler.(*proxy.Handler)
			out := &logBuffer{}
			h.Log = logs.New(out, clock.Wall(), zapcore.InfoLevel, 1)
			DeferCleanup(h.Log.Close)
			send, rule, claimKey := h.Send, h.Rule, h.Claim
			tc.broken(h)
			post := func(key string) (*http.Response, error) {
				req, _ := http.NewRequest(http.MethodPost, srv.URL+"/s/a", strings.NewReader("x"))
				req.Header.Set(wire.IdempotencyKey, key)
				return http.DefaultClient.Do(req)
			}
			res, err := post("key-1")
			if tc.status == 0 {
				Expect(err).To(HaveOccurred())
			} else {
				Expect(err).NotTo(HaveOccurred())
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				Expect(res.StatusCode).To(Equal(tc.status))
				Expect(res.Header.Get(wire.Outcome)).To(Equal(tc.outcome))
			}
			Eventually(out.String).Should(And(ContainSubstring("unexpected"), ContainSubstring(`"msg":"panic"`), ContainSubstring("key-1")))
			h.Send, h.Rule, h.Claim = send, rule, claimKey
			res, err = post("key-2")
			Expect(err).NotTo(HaveOccurred())
			_ = res.Body.Close()
			Expect(res.StatusCode).To(Equal(http.StatusOK))
		})
	}
})
