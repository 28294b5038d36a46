package logs

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/events/note"
)

// Log writes a line for each routing and placement decision; it is safe for concurrent use.
type Log struct {
	*zap.Logger
	sample uint64
	count  atomic.Uint64
	buffer *zapcore.BufferedWriteSyncer
}

const (
	bufferSize  = 256 << 10
	flushPeriod = time.Second
)

// New returns a log that writes one in sample routing decisions, and every refusal.
func New(w io.Writer, level zapcore.Level, sample int) *Log {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	buf := &zapcore.BufferedWriteSyncer{WS: zapcore.AddSync(w), Size: bufferSize, FlushInterval: flushPeriod}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), buf, level)
	return &Log{Logger: zap.New(core), sample: uint64(max(1, sample)), buffer: buf}
}

// Close writes out what is buffered.
func (l *Log) Close() error { return l.buffer.Stop() }

// Route writes a routing decision.
func (l *Log) Route(c *call.Call, s *step.Step) {
	if s.Stage == stage.Send && l.sample > 1 && l.count.Add(1)%l.sample != 0 {
		return
	}
	ce := l.Check(zapcore.InfoLevel, "route")
	if ce == nil {
		return
	}
	ch := &s.Choice
	upstream, domain, version := "", "", ""
	if ch.Target != nil {
		upstream, domain, version = ch.Target.Name, ch.Target.Domain, ch.Target.Version
	}
	ce.Write(
		zap.Uint64("call", c.ID), zap.String("mark", c.Mark), zap.String("service", c.Service), zap.String("route", c.Route),
		zap.Stringer("step", s.Stage), zap.Stringer("reason", s.Reason), zap.Int("attempt", s.Attempt),
		zap.String("upstream", upstream), zap.String("domain", domain), zap.String("version", version),
		zap.Duration("wait", ch.Wait), zap.Stringer("fate", s.Fate),
		zap.Int("out", ch.Out), zap.Int("leaving", ch.Leaving), zap.Int("cold", ch.Cold), zap.Int("open", ch.Open),
		zap.Int("conns", ch.Conns), zap.Int("busy", ch.Busy), zap.Int("tried", ch.Tried),
	)
}

// End writes how an attempt ended, when debugging.
func (l *Log) End(c *call.Call, attempt int, r *result.Result) {
	if ce := l.Check(zapcore.DebugLevel, "end"); ce != nil {
		ce.Write(zap.Uint64("call", c.ID), zap.String("mark", c.Mark), zap.Int("attempt", attempt),
			zap.Stringer("cause", r.Cause), zap.Int("status", r.Status), zap.Duration("took", r.Took))
	}
}

// Early writes a refusal that came before any decision on where the call goes.
func (l *Log) Early(mark, host, path string, status int, why string) {
	l.Info("early", zap.String("mark", mark), zap.String("host", host), zap.String("path", path),
		zap.Int("status", status), zap.String("reason", why))
}

// Place writes a placement decision.
func (l *Log) Place(n note.Note) {
	l.Info("place", zap.Stringer("what", n.What), zap.String("subject", n.Subject),
		zap.String("reason", n.Reason), zap.Int("share", n.Share))
}
