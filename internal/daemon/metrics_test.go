package daemon_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"

	"github.com/balsamvale/balsamvale/internal/daemon"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

var _ = Describe("The metrics", func() {
	It("are exactly those listed in docs/OPERATIONS.md", func() {
		up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }))
		DeferCleanup(up.Close)
		mux := http.NewServeMux()
		mux.Handle(rpc.NewStoreHandler(kvsim.New(clock.Wall(), 1)))
		kv := httptest.NewServer(mux)
		DeferCleanup(kv.Close)
		o := &option.Options{
			Name: "e", Domain: "zone-1", Front: freeAddr(), Peer: freeAddr(), Admin: freeAddr(),
			Store: []netip.AddrPort{address(kv)}, MaxHeaderBytes: 1 << 16, MaxBodyBytes: 1 << 20, ReadHeaderTimeout: time.Second, ShutdownDelay: 10 * time.Millisecond,
		}
		putRecords(o.Store, "[[domain]]\nschema = 1\nname = \"zone-1\"\n[[service]]\nschema = 2\nname = \"s\"\nslots = 4\nconns = 10\nwarm = \"0s\"\n[[upstream]]\nschema = 1\nname = \"u\"\nservice = \"s\"\ndomain = \"zone-1\"\nversion = \"v1\"\naddr = \""+address(up).String()+"\"\n")
		stop, done := runDaemon(daemon.New(o, clock.Wall(), logs.New(io.Discard, clock.Wall(), zapcore.ErrorLevel, 1), 1, store.New(clock.Wall(), &http.Client{}, o.Store).Seams()))
		get := func(addr netip.AddrPort, path string) string {
			res, err := http.Get("http://" + addr.String() + path)
			if err != nil {
				return ""
			}
			defer func() { _ = res.Body.Close() }()
			data, _ := io.ReadAll(res.Body)
			return string(data)
		}
		Eventually(func() string { return get(o.Front, "/s/a") }, "10s", "20ms").Should(Equal("x"))
		Expect(get(o.Front, "/none")).To(ContainSubstring("not known"))
		served := map[string]bool{}
		for _, m := range regexp.MustCompile(`(?m)^(balsamvale_[a-z_]+?)(_bucket|_sum|_count)?[{ ]`).FindAllStringSubmatch(get(o.Admin, "/metrics"), -1) {
			served[m[1]] = true
		}
		page, err := os.ReadFile("../../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		documented := map[string]bool{}
		for _, m := range regexp.MustCompile("(?m)^\\| `(balsamvale_[a-z_]+)` \\|").FindAllStringSubmatch(string(page), -1) {
			documented[strings.TrimSpace(m[1])] = true
		}
		Expect(served).To(Equal(documented))
		stop()
		Eventually(done, "10s").Should(Receive(BeNil()))
	})
})
