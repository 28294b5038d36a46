package proxy_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/proxy"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// newHandler returns the handler of an entry and its address.
func newHandler() (*proxy.Handler, string) {
	up := httptest.NewServer(http.HandlerFunc(echo))
	DeferCleanup(up.Close)
	srv := startEntryFor(up, bodyLimit, func(f func()) { DeferCleanup(f) })
	return srv.Config.Handler.(*proxy.Handler), srv.URL
}

var _ = Describe("A refusal", func() {
	It("without a configuration gives Retry-After in whole seconds", func() {
		h, url := newHandler()
		h.Configured = func() bool { return false }
		res, err := http.Get(url + "/s/a")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(res.Header.Get("Retry-After")).To(MatchRegexp("^[0-9]+$"))
		Expect(res.Header.Get(wire.Outcome)).To(Equal("notrun"))
	})

	// Other calls with the same fingerprint may crash upstreams while this one, which holds its key, has not run.
	It("of a call that turns out poisoned after its claim ends the claim", func() {
		h, url := newHandler()
		var fingerprint atomic.Uint64
		h.Poison.OnCrash = func(fp, _ uint64, _ time.Time) { fingerprint.Store(fp) }
		h.Send = func(context.Context, *outreq.Request) (*http.Response, result.Result) {
			if fp := fingerprint.Load(); fp != 0 {
				h.Poison.RecordCrash(time.Now(), fp)
				return nil, result.Result{Cause: cause.Shed}
			}
			return nil, result.Result{Cause: cause.ConnBroken}
		}
		states := make(chan state.State, 2)
		h.CompleteClaim = func(_ string, c claim.Claim) { states <- c.State }
		for _, want := range []struct {
			outcome string
			state   state.State
		}{{"unknown", state.Unknown}, {"notrun", state.NotRun}} {
			req, _ := http.NewRequest(http.MethodPost, url+"/s/a", strings.NewReader("x"))
			req.Header.Set(wire.IdempotencyKey, "key-1")
			res, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			_ = res.Body.Close()
			Expect(res.Header.Get(wire.Outcome)).To(Equal(want.outcome))
			Eventually(states, "1s").Should(Receive(Equal(want.state)))
		}
	})
})

// A pool gets its configuration after the service is known. Calls that came in between were answered 404, which no caller repeats.
var _ = Describe("A call for a service whose pool has no configuration yet", func() {
	It("is refused with 503", func() {
		h, url := newHandler()
		svc, _ := h.Service("s")
		empty := pool.New(rand.New(rand.NewPCG(1, 1)), policy.LeastPredictedWait)
		h.Service = func(string) (*svcrec.Service, *pool.Pool) { return svc, empty }
		res, err := http.Get(url + "/s/a")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(res.Header.Get(wire.Outcome)).To(Equal("notrun"))
	})
})
