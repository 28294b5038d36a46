package proxy_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// fill takes all places of a pool, so that further calls wait.
func fill(p *pool.Pool) {
	ignore := func(choice.Choice) {}
	for range 10 * tune.AdmitLimitInitial {
		c := &call.Call{Service: "s", Caller: "other", Deadline: time.Now().Add(time.Hour)}
		if ch := p.Admit(time.Now(), c, ignore); ch.Stage != stage.Probe {
			return
		}
		if ch := p.Pick(time.Now(), c, nil, ignore); ch.Stage != stage.Send {
			return
		}
	}
}

// A call must end by its deadline although nothing is left that would wake it.
var _ = Describe("A call that waits", func() {
	const timeLeft = 300 * time.Millisecond
	for _, tc := range []struct {
		name string
		// probes is the number of probes for each call; services that probe have an admission limit.
		probes int
		key    string
		// remove is called while the call waits.
		remove func(p *pool.Pool)
		status int
		before time.Duration
	}{
		{"for an upstream, in a pool that nobody dispatches", 0, "", func(*pool.Pool) {}, http.StatusServiceUnavailable, 2 * timeLeft},
		{"for admission, in a pool that nobody dispatches", 1, "", func(*pool.Pool) {}, http.StatusServiceUnavailable, 2 * timeLeft},
		{"for an upstream of a service that leaves the configuration", 0, "", func(p *pool.Pool) { p.Close(time.Now()) }, http.StatusServiceUnavailable, timeLeft},
		{"for admission to a service that leaves the configuration", 1, "", func(p *pool.Pool) { p.Close(time.Now()) }, http.StatusServiceUnavailable, timeLeft},
		{"for its claim, which is never decided", 0, "key-1", func(*pool.Pool) {}, http.StatusServiceUnavailable, 2 * timeLeft},
	} {
		It("is refused in time: "+tc.name, func() {
			h, url := newHandler()
			svc, p := h.Service("s")
			svc.ProbesPerCall = tc.probes
			p.Install(time.Now(), &svcfg.Config{Service: *svc, EntryCount: 1, Targets: []target.Target{{Upstream: upsrec.Upstream{Name: "up", Addr: netip.MustParseAddrPort("127.0.0.1:9")}}}})
			if tc.key == "" {
				fill(p)
			}
			h.Claim = func(ctx context.Context, _ string, _ claim.Claim) (dedup.Result, claim.Claim) {
				<-ctx.Done()
				return dedup.Unavailable, claim.Claim{}
			}
			req, _ := http.NewRequest(http.MethodPost, url+"/s/a", strings.NewReader("x"))
			req.Header.Set(wire.Deadline, timeLeft.String())
			req.Header.Set(wire.IdempotencyKey, tc.key)
			client := &http.Client{Timeout: 3 * time.Second}
			start := time.Now()
			closing := time.AfterFunc(timeLeft/3, func() { tc.remove(p) })
			defer closing.Stop()
			res, err := client.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = res.Body.Close() }()
			Expect(res.StatusCode).To(Equal(tc.status))
			Expect(time.Since(start)).To(BeNumerically("<", tc.before))
		})
	}
})
