package option

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap/zapcore"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/internal/tomlpb"
)

// ErrFile is matched by errors about a settings file that cannot be read.
var ErrFile = eris.New("cannot read the settings file")

// Options holds the checked settings of one entry; the schema of the settings defines their defaults and limits.
type Options struct {
	// Name is unique among the entries.
	Name string
	// Domain is the failure domain of the host.
	Domain string
	// Front is the listening address for callers.
	Front netip.AddrPort
	// Peer is the listening address for other entries.
	Peer netip.AddrPort
	// Admin is the listening address for metrics and health checks.
	Admin netip.AddrPort
	// Store lists the addresses of the key-value store.
	Store []netip.AddrPort
	// Seeds lists the addresses of peers that the entry asks for the configuration at its start, in case the store cannot be
	// reached.
	Seeds []netip.AddrPort
	// Level is the least severe level that is logged.
	Level zapcore.Level
	// LogSampleEvery means that one in this many routing decisions is logged; refusals always are.
	LogSampleEvery int
	// MaxHeaderBytes is the largest size of request headers in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the largest size of a request body in bytes.
	MaxBodyBytes int64
	// ReadHeaderTimeout bounds the time in which a caller sends its request headers.
	ReadHeaderTimeout time.Duration
	// ShutdownDelay is the time that the balancer in front of the entry takes to notice that the entry is not ready.
	ShutdownDelay time.Duration
	// DrainTimeout is the longest wait for calls in flight at a planned stop; 0 for no limit.
	DrainTimeout time.Duration
	// HandoverTimeout is the longest wait, after the calls in flight, until other entries can take over what this one holds.
	HandoverTimeout time.Duration
	// MemoryLimitBytes is the soft memory limit of the Go runtime in bytes; 0 for none.
	MemoryLimitBytes int64
	// MaxConfigAge is the time within which operators expect a change of the configuration to be in force; 0 for the default.
	MaxConfigAge time.Duration
	// MaxKeyAge is the age of the configuration up to which calls with keys of client accounts are served; 0 for no limit.
	MaxKeyAge time.Duration
	// DutyLease is the lifetime of the lease under which an entry holds a duty. Only settings that name a duty set it.
	DutyLease time.Duration
	// DutyRate is the number of calls a second that all entries together may make for duties.
	DutyRate float64
	// UsageWindow is the length of the windows of usage reports, and UsageLate the time after the end of a window at which its report
	// is due; 0 if usage is not reported.
	UsageWindow time.Duration
	UsageLate   time.Duration
	// MaxFiles is the number of descriptors that the process may have; 0 if only the system's limit is known.
	MaxFiles int
}

// digestLength is the length of a digest in hexadecimal digits: enough to tell apart the settings of a fleet, and short enough to
// read out.
const digestLength = 12

// Digest returns a short hash of the settings, and of further ones as lines of the form key=value.
//
// It is that of all hosts of a fleet with the same settings: the name, the failure domain and the addresses, which differ by host,
// are left out. Hashes of them would not hide them either, since there are few addresses to try. The settings hold no secrets.
func (o *Options) Digest(more ...string) string {
	h := sha256.New()
	for _, s := range []struct {
		key   string
		value any
	}{
		{"log.level", o.Level},
		{"log.sample", o.LogSampleEvery},
		{"bounds.header", o.MaxHeaderBytes},
		{"bounds.body", o.MaxBodyBytes},
		{"bounds.read", o.ReadHeaderTimeout},
		{"stop.lag", o.ShutdownDelay},
		{"stop.wait", o.DrainTimeout},
		{"stop.handover", o.HandoverTimeout},
		{"config.age", o.MaxConfigAge},
		{"keys.age", o.MaxKeyAge},
		{"duty", []any{o.DutyLease, o.DutyRate, o.UsageWindow, o.UsageLate}},
		{"limits.memory", o.MemoryLimitBytes},
		{"limits.files", o.MaxFiles},
	} {
		fmt.Fprintf(h, "%s=%v\n", s.key, s.value)
	}
	for _, line := range more {
		fmt.Fprintln(h, line)
	}
	return hex.EncodeToString(h.Sum(nil))[:digestLength]
}

// Load reads and checks a settings file; errors match ErrFile or tomlpb.ErrInvalid.
func Load(file string) (*Options, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(ErrFile, err.Error())
	}
	return Parse(file, data)
}

// Parse decodes and checks the text of a settings file; file is its name in errors, which match tomlpb.ErrInvalid.
func Parse(file string, data []byte) (*Options, error) {
	f, err := tomlpb.Parse(file, data)
	if err != nil {
		return nil, err
	}
	var s pb.Settings
	if err := f.Decode(&s); err != nil {
		return nil, err
	}
	return fromSettings(&s), nil
}

// defaultHandoverTimeout is the time for a handover, which settings in the project's format do not contain.
const defaultHandoverTimeout = 3 * time.Second

// fromSettings converts settings that were decoded and checked.
func fromSettings(s *pb.Settings) *Options {
	return &Options{
		Name:              s.GetName(),
		Domain:            s.GetDomain(),
		Front:             addr(s.GetFront()),
		Peer:              addr(s.GetPeer()),
		Admin:             addr(s.GetAdmin()),
		Store:             addrs(s.GetStore()),
		Seeds:             addrs(s.GetSeed()),
		Level:             level(s.GetLog().GetLevel()),
		LogSampleEvery:    int(s.GetLog().GetSample()),
		MaxHeaderBytes:    int(s.GetBounds().GetHeader()),
		MaxBodyBytes:      s.GetBounds().GetBody(),
		ReadHeaderTimeout: s.GetBounds().GetRead().AsDuration(),
		MaxKeyAge:         s.GetBounds().GetKeys().AsDuration(),
		ShutdownDelay:     s.GetStop().GetLag().AsDuration(),
		DrainTimeout:      s.GetStop().GetWait().AsDuration(),
		HandoverTimeout:   defaultHandoverTimeout,
	}
}

// addr parses an address that was checked on decoding; it returns the zero value for anything else.
func addr(s string) netip.AddrPort {
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}
	}
	return ap
}

// addrs parses each address of a list, as addr does.
func addrs(list []string) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(list))
	for _, s := range list {
		out = append(out, addr(s))
	}
	return out
}

// level converts a log level; an unknown one becomes info.
func level(l pb.Level) zapcore.Level {
	switch l {
	case pb.Level_DEBUG:
		return zapcore.DebugLevel
	case pb.Level_WARN:
		return zapcore.WarnLevel
	case pb.Level_ERROR:
		return zapcore.ErrorLevel
	}
	return zapcore.InfoLevel
}
