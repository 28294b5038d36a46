package logs

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sync/atomic"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/events/logmsg"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// Log writes a line for each routing and placement decision; it is safe for concurrent use and never blocks.
type Log struct {
	*zap.Logger
	sampleEvery uint64
	routeCount  atomic.Uint64
	clock       clock.Clock
	writer      *asyncWriter
	limiter     rateLimiter
}

// New returns a log that writes one in sample routing decisions, and every refusal, within a bound a second.
func New(w io.Writer, c clock.Clock, level zapcore.Level, sample int) *Log {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	p := newAsyncWriter(w, c)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), p, level)
	return &Log{Logger: zap.New(core), sampleEvery: uint64(max(1, sample)), clock: c, writer: p}
}

// Close writes out what waits, for a bounded time.
func (l *Log) Close() { l.writer.close() }

// Dropped returns the number of lines that were lost to a writer that stalled.
func (l *Log) Dropped() uint64 { return l.writer.dropped.Load() }

// check returns a line to write, unless the level or the bound for the second leaves it out.
func (l *Log) check(msg string, routine bool) *zapcore.CheckedEntry {
	ce := l.Check(zapcore.InfoLevel, msg)
	if ce == nil {
		return nil
	}
	ok, missed := l.limiter.allow(l.clock.Now(), routine)
	if missed > 0 {
		l.Warn("lines left out", zap.Uint64("count", missed))
	}
	if !ok {
		return nil
	}
	return ce
}

// RouteDecision writes a routing decision.
func (l *Log) RouteDecision(c *call.Call, s *step.Step) {
	routine := s.Stage == stage.Send
	if routine && l.sampleEvery > 1 && l.routeCount.Add(1)%l.sampleEvery != 0 {
		return
	}
	ce := l.check("route", routine)
	if ce == nil {
		return
	}
	ch := &s.Choice
	upstream, domain, version := "", "", ""
	if ch.Target != nil {
		upstream, domain, version = ch.Target.Name, ch.Target.Domain, ch.Target.Version
	}
	ce.Write(
		zap.Uint64("call", c.ID), zap.String("mark", c.RequestID), zap.String("service", c.Service), zap.String("route", c.Route),
		zap.Stringer("step", s.Stage), zap.Stringer("reason", s.Reason), zap.Int("attempt", s.Attempt),
		zap.String("upstream", upstream), zap.String("domain", domain), zap.String("version", version),
		zap.Duration("wait", ch.PredictedWait), zap.Float64("load", ch.Load), zap.Float64("pace", ch.Slowdown), zap.Duration("age", ch.ReportAge),
		zap.Int("limit", ch.AdmitLimit), zap.Int("waiting", ch.AdmitWaiting), zap.Stringer("fate", s.Outcome),
		zap.Int("out", ch.SkippedUnavailable), zap.Int("leaving", ch.SkippedDraining), zap.Int("cold", ch.SkippedCold), zap.Int("open", ch.SkippedCircuitOpen),
		zap.Int("conns", ch.SkippedConnLimit), zap.Int("busy", ch.SkippedBusy), zap.Int("tried", ch.SkippedTried),
	)
}

// AttemptEnd writes how an attempt ended, with the load that the upstream reported then; since counts from the call's arrival.
func (l *Log) AttemptEnd(c *call.Call, attempt int, r *result.Result, since time.Duration) {
	ce := l.check("end", r.Cause == cause.None)
	if ce == nil {
		return
	}
	busy, pace := -1, 0.0
	if r.Report != nil {
		busy, pace = r.Report.InFlight, r.Report.Slowdown
	}
	ce.Write(zap.Uint64("call", c.ID), zap.String("mark", c.RequestID), zap.Int("attempt", attempt),
		zap.Stringer("cause", r.Cause), zap.Int("status", r.Status), zap.Duration("took", r.Latency),
		zap.Duration("since", since), zap.Int("busy", busy), zap.Float64("pace", pace))
}

// EarlyRefusal writes a refusal that came before any decision on where the call goes.
func (l *Log) EarlyRefusal(mark, host, path string, status int, why string) {
	if ce := l.check("early", false); ce != nil {
		ce.Write(zap.String("mark", mark), zap.String("host", host), zap.String("path", path),
			zap.Int("status", status), zap.String("reason", why))
	}
}

// ControlDecision writes a placement decision.
func (l *Log) ControlDecision(n logmsg.Message) {
	if ce := l.check("place", false); ce != nil {
		ce.Write(zap.Stringer("what", n.Type), zap.String("subject", n.Subject),
			zap.String("reason", n.Reason), zap.Int("share", n.Permille))
	}
}
