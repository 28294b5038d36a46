package build_test

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/build"
)

// head is the ID of a commit.
const head = "0123456789abcdef0123456789abcdef01234567"

// stamps returns a ReadInfo function for a build with a Go version and stamps, given as keys and values in turn.
func stamps(goVersion string, pairs ...string) func() (*debug.BuildInfo, bool) {
	info := &debug.BuildInfo{GoVersion: goVersion}
	for i := 0; i < len(pairs); i += 2 {
		info.Settings = append(info.Settings, debug.BuildSetting{Key: pairs[i], Value: pairs[i+1]})
	}
	return func() (*debug.BuildInfo, bool) { return info, true }
}

var _ = Describe("A build", func() {
	for _, tc := range []struct {
		name                          string
		read                          func() (*debug.BuildInfo, bool)
		revision, tree, version, arch string
	}{
		{"in a clean checkout", stamps("go1.26.8", "vcs.revision", head, "vcs.modified", "false", "GOOS", "linux", "GOARCH", "arm64"), head, "clean", "go1.26.8", "linux/arm64"},
		{"in a changed checkout", stamps("go1.26.8", "vcs.revision", head, "vcs.modified", "true", "GOOS", "linux", "GOARCH", "amd64"), head, "changed", "go1.26.8", "linux/amd64"},
		{"without stamps of the checkout", stamps("go1.26.8", "GOOS", "linux", "GOARCH", "amd64"), "unknown", "unknown", "go1.26.8", "linux/amd64"},
		{"that does not say whether its checkout was changed", stamps("go1.26.8", "vcs.revision", head), head, "unknown", "go1.26.8", "unknown"},
		{"whose commit is empty", stamps("go1.26.8", "vcs.revision", "", "vcs.modified", ""), "unknown", "unknown", "go1.26.8", "unknown"},
		{"whose commit is no ID", stamps("go1.26.8", "vcs.revision", "a\"} 1\n", "vcs.modified", "perhaps"), "unknown", "unknown", "go1.26.8", "unknown"},
		{"whose commit is too long for an ID", stamps("go1.26.8", "vcs.revision", head+head), "unknown", "unknown", "go1.26.8", "unknown"},
		{"without a Go version", stamps(""), "unknown", "unknown", "unknown", "unknown"},
		{"without any information", func() (*debug.BuildInfo, bool) { return nil, false }, "unknown", "unknown", "unknown", "unknown"},
		{"whose information is nil", func() (*debug.BuildInfo, bool) { return nil, true }, "unknown", "unknown", "unknown", "unknown"},
	} {
		It("is described: one "+tc.name, func() {
			b := build.New()
			b.ReadInfo = tc.read
			Expect([]string{b.Revision(), b.Tree(), b.Go(), b.Arch()}).To(Equal([]string{tc.revision, tc.tree, tc.version, tc.arch}))
			Expect(b.String()).To(HavePrefix("commit " + tc.revision + ", tree " + tc.tree + ", " + tc.version + " " + tc.arch + "; "))
		})
	}

	for _, tc := range []struct {
		name     string
		memory   int64
		settings int64
		files    uint64
		err      error
		want     string
	}{
		{"no limit on memory", math.MaxInt64, 0, 1024, nil, "processors 3, memory limit none (Go runtime none), descriptors 1024; settings unknown"},
		{"a memory limit of the settings", 170 << 20, 170 << 20, 1024, nil, "processors 3, memory limit 170 MiB (Go runtime 170 MiB), descriptors 1024; settings unknown"},
		{"a memory limit of the environment", 64 << 20, 0, 1024, nil, "processors 3, memory limit none (Go runtime 64 MiB), descriptors 1024; settings unknown"},
		{"no limit on descriptors", math.MaxInt64, 0, math.MaxUint64, nil, "descriptors 1073741824;"},
		{"a limit on descriptors that cannot be read", math.MaxInt64, 0, 1024, errors.New("not permitted"), "descriptors unknown;"},
	} {
		It("names the limits of its process: "+tc.name, func() {
			b := build.New()
			b.Processors = func() int { return 3 }
			b.GoMemory = func() int64 { return tc.memory }
			b.SettingsMemory = func() int64 { return tc.settings }
			b.ReadLimit = func(resource int, r *syscall.Rlimit) error {
				Expect(resource).To(Equal(syscall.RLIMIT_NOFILE))
				r.Cur = tc.files
				return tc.err
			}
			Expect(b.String()).To(ContainSubstring(tc.want))
		})
	}

	for _, tc := range []struct {
		name, program, goVersion string
	}{
		{"a program", os.Args[0], runtime.Version()},
		{"a file that is no program", "build_test.go", "unknown"},
		{"no file", "absent", "unknown"},
	} {
		It("is read from "+tc.name, func() {
			b := build.New()
			b.UseFile(tc.program)
			// The version of the running program has the experiments of the toolchain behind it, if there are any.
			Expect(tc.goVersion).To(HavePrefix(b.Go()))
		})
	}

	for _, tc := range []struct {
		name, text, want string
	}{
		{"valid", "schema = 1\nname = \"e\"\ndomain = \"d\"\nfront = \"10.0.0.1:1\"\npeer = \"10.0.0.1:2\"\nadmin = \"10.0.0.1:3\"\nstore = [\"10.0.0.2:1\"]\n", `; settings [0-9a-f]{12}$`},
		{"invalid", "schema = 1\n", `; settings unknown$`},
	} {
		It("names the digest of a settings file that is "+tc.name, func() {
			file := filepath.Join(GinkgoT().TempDir(), "e.toml")
			Expect(os.WriteFile(file, []byte(tc.text), 0o600)).To(Succeed())
			b := build.New()
			b.UseSettings(file)
			Expect(b.String()).To(MatchRegexp(tc.want))
			Expect(strings.Count(b.String(), "\n")).To(BeZero())
		})
	}
})
