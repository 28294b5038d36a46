package build

import (
	"debug/buildinfo"
	"fmt"
	"math"
	"regexp"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/balsamvale/balsamvale/internal/option"
)

// Unknown stands for what a build does not say of itself.
const Unknown = "unknown"

// maxFiles is the highest number of descriptors that is taken as a limit; above it, the system sets none.
const maxFiles = 1 << 30

// Build describes a program and the process that runs it. What cannot be read is Unknown or 0, and never an error.
type Build struct {
	// ReadInfo returns the stamps of the build, and whether there are any.
	ReadInfo func() (*debug.BuildInfo, bool)
	// Processors returns the number of threads that run Go code at the same time.
	Processors func() int
	// GoMemory returns the memory limit of the Go runtime in bytes; math.MaxInt64 for none.
	GoMemory func() int64
	// ReadLimit reads a resource limit of the process.
	ReadLimit func(resource int, limit *syscall.Rlimit) error
	// SettingsMemory returns the memory limit of the settings in bytes; 0 for none.
	SettingsMemory func() int64
	// Settings returns the digest of the settings in force.
	Settings func() string
}

// New returns the description of the running process, without settings.
func New() *Build {
	return &Build{
		ReadInfo:   debug.ReadBuildInfo,
		Processors: func() int { return runtime.GOMAXPROCS(0) },
		// A negative limit changes nothing.
		GoMemory:       func() int64 { return debug.SetMemoryLimit(-1) },
		ReadLimit:      syscall.Getrlimit,
		SettingsMemory: func() int64 { return 0 },
		Settings:       func() string { return Unknown },
	}
}

// UseFile makes b describe the build of the program in a file instead of that of the process.
func (b *Build) UseFile(name string) {
	b.ReadInfo = func() (*debug.BuildInfo, bool) {
		info, err := buildinfo.ReadFile(name)
		// A file that cannot be read has no stamps; whoever starts the program reports the error.
		return info, err == nil
	}
}

// UseSettings makes b describe the settings in a file of the project's own format. Those of a file that cannot be read are Unknown.
func (b *Build) UseSettings(file string) {
	if o, err := option.Load(file); err == nil {
		b.SettingsMemory = func() int64 { return o.MemoryLimitBytes }
		b.Settings = func() string { return o.Digest() }
	}
}

// stamp returns the value of a stamp, or an empty text.
func (b *Build) stamp(key string) string {
	info, ok := b.ReadInfo()
	if !ok || info == nil {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == key {
			return s.Value
		}
	}
	return ""
}

// commit matches the IDs of commits, abbreviated or not.
var commit = regexp.MustCompile(`^[0-9a-f]{7,64}$`)

// Revision returns the commit that the program was built from, or Unknown.
func (b *Build) Revision() string {
	if v := b.stamp("vcs.revision"); commit.MatchString(v) {
		return v
	}
	return Unknown
}

// Tree returns whether the working tree differed from the commit at the time of the build: "changed", "clean" or Unknown.
func (b *Build) Tree() string {
	changed, err := strconv.ParseBool(b.stamp("vcs.modified"))
	switch {
	case err != nil:
		return Unknown
	case changed:
		return "changed"
	}
	return "clean"
}

// Go returns the Go version of the build, or Unknown.
func (b *Build) Go() string {
	if info, ok := b.ReadInfo(); ok && info != nil && info.GoVersion != "" {
		return info.GoVersion
	}
	return Unknown
}

// Arch returns the operating system and the architecture of the build, such as linux/arm64, or Unknown.
func (b *Build) Arch() string {
	system, arch := b.stamp("GOOS"), b.stamp("GOARCH")
	if system == "" || arch == "" {
		return Unknown
	}
	return system + "/" + arch
}

// MemoryLimit returns the memory limit of the Go runtime in bytes, or 0 for none.
func (b *Build) MemoryLimit() int64 {
	if n := b.GoMemory(); n > 0 && n < math.MaxInt64 {
		return n
	}
	return 0
}

// Files returns how many descriptors the process may have, or 0 if that cannot be read.
func (b *Build) Files() int {
	var r syscall.Rlimit
	if err := b.ReadLimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return 0
	}
	return int(min(r.Cur, maxFiles))
}

// String returns the description as one line of text.
func (b *Build) String() string {
	files := Unknown
	if n := b.Files(); n > 0 {
		files = strconv.Itoa(n)
	}
	return fmt.Sprintf("commit %s, tree %s, %s %s; processors %d, memory limit %s (Go runtime %s), descriptors %s; settings %s",
		b.Revision(), b.Tree(), b.Go(), b.Arch(), b.Processors(), bytesText(b.SettingsMemory()), bytesText(b.MemoryLimit()), files, b.Settings())
}

// bytesText returns a limit in bytes as text.
func bytesText(n int64) string {
	if n == 0 {
		return "none"
	}
	return fmt.Sprintf("%d MiB", n>>20)
}
