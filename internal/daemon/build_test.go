package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime/debug"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"go.uber.org/zap/zapcore"

	"github.com/balsamvale/balsamvale/internal/daemon"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// Reports of operators came without a version, and neither the log nor the metrics of an entry named it.
var _ = Describe("An entry names its build", func() {
	const commit = "0123456789abcdef0123456789abcdef01234567"
	for _, tc := range []struct {
		name                          string
		info                          *debug.BuildInfo
		revision, tree, version, arch string
	}{
		{"with all stamps", &debug.BuildInfo{GoVersion: "go1.26.8", Settings: []debug.BuildSetting{
			{Key: "vcs.revision", Value: commit}, {Key: "vcs.modified", Value: "true"}, {Key: "GOOS", Value: "linux"}, {Key: "GOARCH", Value: "arm64"},
		}}, commit, "changed", "go1.26.8", "linux/arm64"},
		{"without stamps", nil, "unknown", "unknown", "unknown", "unknown"},
		{"with invalid stamps", &debug.BuildInfo{GoVersion: "go1.26.8", Settings: []debug.BuildSetting{
			{Key: "vcs.revision", Value: "\"}\n"}, {Key: "vcs.modified", Value: "-"},
		}}, "unknown", "unknown", "go1.26.8", "unknown"},
	} {
		It("in its first log line, a metric and its status: "+tc.name, func() {
			mux := http.NewServeMux()
			mux.Handle(rpc.NewStoreHandler(kvsim.New(clock.Wall(), 1)))
			kv := httptest.NewServer(mux)
			DeferCleanup(kv.Close)
			o := &option.Options{
				Name: "e", Domain: "zone-1", Front: freeAddr(), Peer: freeAddr(), Admin: freeAddr(), Store: []netip.AddrPort{address(kv)},
				MaxHeaderBytes: 1 << 16, MaxBodyBytes: 1 << 20, ReadHeaderTimeout: time.Second, ShutdownDelay: 10 * time.Millisecond, MemoryLimitBytes: 300 << 20,
			}
			putRecords(o.Store, "[[domain]]\nschema = 1\nname = \"zone-1\"\n")
			lines := gbytes.NewBuffer()
			log := logs.New(lines, clock.Wall(), zapcore.InfoLevel, 1)
			DeferCleanup(log.Close)
			d := daemon.New(o, clock.Wall(), log, 1, store.New(clock.Wall(), &http.Client{}, o.Store).Seams())
			d.Build.ReadInfo = func() (*debug.BuildInfo, bool) { return tc.info, tc.info != nil }
			d.Build.Processors = func() int { return 3 }
			d.Build.GoMemory = func() int64 { return 200 << 20 }
			d.Build.ReadLimit = func(_ int, r *syscall.Rlimit) error { r.Cur = 4000; return nil }
			stop, done := runDaemon(d)
			Eventually(lines, "10s").Should(gbytes.Say(`"msg":"started"`))

			first, _, _ := bytes.Cut(lines.Contents(), []byte("\n"))
			var got map[string]any
			Expect(json.Unmarshal(first, &got)).To(Succeed())
			delete(got, "ts")
			Expect(got).To(Equal(map[string]any{
				"level": "info", "msg": "starting", "name": "e", "revision": tc.revision, "tree": tc.tree, "go": tc.version, "arch": tc.arch,
				"processors": 3.0, "memory": 300.0 * (1 << 20), "heap": 200.0 * (1 << 20), "files": 4000.0, "settings": o.Digest(),
			}))

			res, err := http.Get("http://" + o.Admin.String() + "/metrics")
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(res.Body)
			_ = res.Body.Close()
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).To(ContainSubstring("\nbalsamvale_build_info{revision=\"" + tc.revision + "\",tree=\"" + tc.tree + "\",go=\"" + tc.version + "\",arch=\"" + tc.arch +
				"\",processors=\"3\",memory=\"314572800\",heap=\"209715200\",files=\"4000\",settings=\"" + o.Digest() + "\"} 1\n"))

			s, err := peers.New(clock.Wall(), &http.Client{}).FetchStatus(context.Background(), o.Peer)
			Expect(err).NotTo(HaveOccurred())
			b := s.GetBuild()
			Expect([]string{b.GetRevision(), b.GetTree(), b.GetGo(), b.GetArch(), b.GetSettings()}).To(Equal([]string{tc.revision, tc.tree, tc.version, tc.arch, o.Digest()}))
			Expect([]int64{int64(b.GetProcessors()), b.GetMemory(), b.GetHeap(), int64(b.GetFiles())}).To(Equal([]int64{3, 300 << 20, 200 << 20, 4000}))
			stop()
			Eventually(done, "10s").Should(Receive(BeNil()))
		})
	}
})
