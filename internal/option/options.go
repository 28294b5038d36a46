package option

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap/zapcore"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/internal/tomlpb"
)

// ErrFile is what the errors about reading a settings file match.
var ErrFile = eris.New("cannot read the settings")

// Options is the checked settings of one entry; defaults and limits stand in the schema.
type Options struct {
	Name   string
	Domain string
	Front  netip.AddrPort
	Peer   netip.AddrPort
	Admin  netip.AddrPort
	Store  []netip.AddrPort
	Seeds  []netip.AddrPort
	Level  zapcore.Level
	// LogSampleEvery is the number of routing decisions of which one is logged.
	LogSampleEvery int
	// MaxHeaderBytes and Body are the largest request headers and body in bytes.
	MaxHeaderBytes    int
	MaxBodyBytes      int64
	ReadHeaderTimeout time.Duration
	ShutdownDelay     time.Duration
	// DrainTimeout is the longest wait for calls in flight at a planned stop; 0 for no limit.
	DrainTimeout time.Duration
	// MemoryLimitBytes is the limit of the runtime in bytes; 0 for none.
	MemoryLimitBytes int64
}

// Load reads and checks a settings file; errors match ErrFile or tomlpb.ErrInvalid.
func Load(file string) (*Options, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(ErrFile, err.Error())
	}
	return Parse(file, data)
}

// Parse checks the text of a settings file; errors match tomlpb.ErrInvalid.
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
		ShutdownDelay:     s.GetStop().GetLag().AsDuration(),
		DrainTimeout:      s.GetStop().GetWait().AsDuration(),
	}
}

// addr converts an address that the schema's limits have checked.
func addr(s string) netip.AddrPort {
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}
	}
	return ap
}

func addrs(list []string) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(list))
	for _, s := range list {
		out = append(out, addr(s))
	}
	return out
}

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
