package proxy_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/proxy"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
	"github.com/balsamvale/balsamvale/pkg/control/accts"
	"github.com/balsamvale/balsamvale/pkg/records/accrec"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/split"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/basis"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// accountsOf returns a table with the account "a", which has the given keys.
func accountsOf(keys ...string) *accts.Table {
	a := &accrec.Account{Name: "a"}
	for _, k := range keys {
		a.Digests = append(a.Digests, accts.Digest(k))
	}
	return accts.New([]*accrec.Account{a})
}

// identityEcho answers with the headers and the trailers that tell an upstream whose call it runs.
func identityEcho(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, r.Header.Get(wire.Account)+r.Header.Get(wire.AccountKey)+r.Trailer.Get(wire.Account))
}

// Guards against calls that are served without a key or for another account, and against a refusal that is final although the key
// may exist.
var _ = Describe("A call where the configuration has client accounts", func() {
	const maxKeyAge, maxConfigAge = 4 * time.Second, 2 * time.Second
	for _, tc := range []struct {
		name   string
		keys   []string
		public bool
		// age is that of the configuration.
		age      time.Duration
		accounts *accts.Table
		status   int
		// account is what the upstream is told.
		account string
	}{
		{"a key of an account", []string{"k1"}, false, 0, accountsOf("k1"), 200, "a"},
		{"an unknown key", []string{"k2"}, false, 0, accountsOf("k1"), 401, ""},
		{"no key", nil, false, 0, accountsOf("k1"), 401, ""},
		{"two keys", []string{"k1", "k1"}, false, 0, accountsOf("k1"), 401, ""},
		{"an empty key", []string{""}, false, 0, accountsOf("k1", ""), 401, ""},
		{"no key for an account without keys", nil, false, 0, accountsOf(), 401, ""},
		{"no key for a public rule", nil, true, 0, accountsOf("k1"), 200, ""},
		{"a key for a public rule", []string{"k1"}, true, 0, accountsOf("k1"), 200, ""},
		{"no key without accounts", nil, false, 0, nil, 200, ""},
		{"a key without accounts", []string{"k1"}, false, 0, nil, 200, ""},
		{"a key in a configuration that may lack others", []string{"k1"}, false, 3 * time.Second, accountsOf("k1"), 200, "a"},
		{"an unknown key in a configuration that may lack it", []string{"k2"}, false, 3 * time.Second, accountsOf("k1"), 503, ""},
		{"a key that may have been removed", []string{"k1"}, false, 5 * time.Second, accountsOf("k1"), 503, ""},
		{"a key in a configuration of unknown age", []string{"k1"}, false, -1, accountsOf("k1"), 503, ""},
		{"no key for a public rule of a configuration that is out of date", nil, true, 5 * time.Second, accountsOf("k1"), 200, ""},
	} {
		It("has the right answer: "+tc.name, func() {
			srv := startEntry(identityEcho)
			h := srv.Config.Handler.(*proxy.Handler)
			h.Accounts, h.AccountsAge = func() *accts.Table { return tc.accounts }, func() time.Duration { return tc.age }
			h.MaxKeyAge, h.MaxConfigAge = maxKeyAge, maxConfigAge
			h.Basis = func() basis.Basis { return basis.Basis{Revision: 1, Age: tc.age} }
			h.Rule = func(string, string) (*rulrec.Rule, bool) {
				return &rulrec.Rule{Name: "r", Public: tc.public, Splits: []split.Split{{Service: "s", Weight: 1}}}, true
			}
			req, _ := http.NewRequest(http.MethodPost, srv.URL+"/s/a", io.MultiReader(bytes.NewReader(make([]byte, 2*tune.MaxReplayBody))))
			req.Header[wire.AccountKey] = tc.keys
			req.Header.Set(wire.Account, "forged")
			req.Trailer = http.Header{wire.Account: {"forged"}}
			res, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = res.Body.Close() }()
			body, _ := io.ReadAll(res.Body)
			Expect(res.StatusCode).To(Equal(tc.status))
			if tc.status == http.StatusOK {
				Expect(string(body)).To(Equal(tc.account))
			}
			Expect(res.Header.Get("WWW-Authenticate") != "").To(Equal(tc.status == http.StatusUnauthorized))
			Expect(res.Header.Get("Retry-After") != "").To(Equal(tc.status == http.StatusServiceUnavailable))
		})
	}

	for _, tc := range []struct {
		name     string
		accounts *accts.Table
		age      time.Duration
		status   int
	}{
		{"its key was removed", accountsOf("k2"), 0, 401},
		{"its key may have been removed", accountsOf("k1"), 5 * time.Second, 503},
		{"its key is that of another account", accts.New([]*accrec.Account{{Name: "b", Digests: accountsDigest("k1")}}), 0, 503},
		{"its key is still there", accountsOf("k1", "k2"), 0, 200},
		{"keys are needed no more", nil, 0, 200},
	} {
		It("is checked again before it is sent: "+tc.name, func() {
			var ran atomic.Int64
			entered, gate := make(chan struct{}), make(chan struct{})
			up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if ran.Add(1) == 1 {
					close(entered)
					<-gate
				}
				identityEcho(w, r)
			}))
			DeferCleanup(up.Close)
			srv := startEntryFor(up, bodyLimit, func(f func()) { DeferCleanup(f) })
			h := srv.Config.Handler.(*proxy.Handler)
			svc := svcrec.Service{Name: "s", Slots: 1, Conns: 1, Timeout: 5 * time.Second, Queue: 10}
			p := pool.New(rand.New(rand.NewPCG(1, 1)), policy.LeastPredictedWait)
			p.Install(time.Now(), &svcfg.Config{Service: svc, EntryCount: 1, Targets: []target.Target{{Upstream: upsrec.Upstream{
				Name: "up", Addr: netip.MustParseAddrPort(strings.TrimPrefix(up.URL, "http://")), Slots: 1,
			}}}})
			h.Service = func(string) (*svcrec.Service, *pool.Pool) { return &svc, p }
			var accounts atomic.Pointer[accts.Table]
			var age atomic.Int64
			accounts.Store(accountsOf("k1", "k2"))
			h.Accounts, h.AccountsAge = accounts.Load, func() time.Duration { return time.Duration(age.Load()) }
			h.MaxKeyAge = maxKeyAge
			call := func() *keyedCall {
				req, _ := http.NewRequest(http.MethodPost, srv.URL+"/s/a", strings.NewReader("x"))
				req.Header.Set(wire.AccountKey, "k1")
				c := &keyedCall{req, make(chan int, 1)}
				go c.run()
				return c
			}
			running := call()
			Eventually(entered, "5s").Should(BeClosed())
			waiting := call()
			Eventually(func() int { return p.DispatchWaiting(time.Now()) }, "5s", "5ms").Should(Equal(1))
			accounts.Store(tc.accounts)
			age.Store(int64(tc.age))
			close(gate)
			Eventually(running.status, "5s").Should(Receive(Equal(http.StatusOK)), "a call that began before is not cut off")
			Eventually(waiting.status, "5s").Should(Receive(Equal(tc.status)))
			Expect(ran.Load() == 2).To(Equal(tc.status == http.StatusOK))
		})
	}
})

// accountsDigest returns the digests of a key.
func accountsDigest(key string) (out [][32]byte) { return append(out, accts.Digest(key)) }

// keyedCall sends a request and passes on the status of the response; its run method is a goroutine.
type keyedCall struct {
	req    *http.Request
	status chan int
}

func (c *keyedCall) run() {
	res, err := http.DefaultClient.Do(c.req)
	if err != nil {
		c.status <- 0
		return
	}
	_ = res.Body.Close()
	c.status <- res.StatusCode
}
