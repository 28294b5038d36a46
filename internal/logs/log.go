package logs

import (
	"io"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sync/atomic"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/events/logmsg"
	"github.com/balsamvale/balsamvale/pkg/shared/basis"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/snap"
)

// Log writes lines for routing decisions, the results of attempts, early refusals and placement decisions; it is safe for
// concurrent use, and writing a line never blocks.
//
// The lines of the embedded Logger's own methods are neither sampled nor rate-limited.
type Log struct {
	*zap.Logger
	// sampleEvery means that one in this many routine routing decisions is written.
	sampleEvery uint64
	// routeCount counts the routine routing decisions.
	routeCount atomic.Uint64
	clock      clock.Clock
	writer     *asyncWriter
	limiter    rateLimiter
}

// maxText is the length in bytes after which a text is cut that a caller or an upstream has sent. Lines wait in a queue, so long
// ones would take memory while nobody reads the log.
const maxText = 256

// cut returns the first maxText bytes of a text.
func cut[T ~string | ~[]byte](text T) T { return text[:min(len(text), maxText)] }

// New returns a log that writes one in sample decisions to send a call, and every refusal, within a rate limit.
//
// A sample below 1 counts as 1. New starts a goroutine that writes to w; it ends with Close.
func New(w io.Writer, c clock.Clock, level zapcore.Level, sample int) *Log {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	async := newAsyncWriter(w, c)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), async, level)
	return &Log{Logger: zap.New(core), sampleEvery: uint64(max(1, sample)), clock: c, writer: async}
}

// Close writes the queued lines; it waits for a blocked writer for a bounded time only.
func (l *Log) Close() { l.writer.close() }

// Dropped returns the number of lines lost because the writer blocked and the queue was full; a failed write adds one.
func (l *Log) Dropped() uint64 { return l.writer.dropped.Load() }

// check returns a zap entry to fill in and write, or nil if the level or the rate limit suppresses the line.
//
// Routine lines have the lower rate limit. At the first line after a second in which lines were suppressed, check first
// logs how many.
func (l *Log) check(msg string, routine bool) *zapcore.CheckedEntry {
	ce := l.Check(zapcore.InfoLevel, msg)
	if ce == nil {
		return nil
	}
	ok, suppressed := l.limiter.allow(l.clock.Now(), routine)
	if suppressed > 0 {
		l.Warn("log lines suppressed by the rate limit", zap.Uint64("count", suppressed))
	}
	if !ok {
		return nil
	}
	return ce
}

// RouteDecision logs a routing decision for a call; decisions to send it are routine, and sampled.
func (l *Log) RouteDecision(c *call.Call, s *step.Step) {
	routine := s.Stage == stage.Send
	if routine && l.sampleEvery > 1 && l.routeCount.Add(1)%l.sampleEvery != 0 {
		return
	}
	if ce := l.check("route", routine); ce != nil {
		ce.Write(routeFields(c, s)...)
	}
}

// Refusal logs the refusal of a call after a routing decision, with the status that the caller gets.
func (l *Log) Refusal(c *call.Call, s *step.Step, status int, b basis.Basis) {
	if ce := l.check("route", false); ce != nil {
		ch := &s.Choice
		ce.Write(append(append(routeFields(c, s), ownFields(status, b)...), zap.Int("priority", c.Priority), zap.Duration("work", ch.Work),
			zap.Float64("value", ch.Value), zap.Int("position", ch.Position), zap.Duration("again", ch.RetryAfter))...)
	}
}

// ownFields returns the fields of an answer that the entry makes itself.
func ownFields(status int, b basis.Basis) []zap.Field {
	return []zap.Field{zap.Int("status", status), zap.Int64("revision", b.Revision.Number()), zap.Duration("lag", b.Age)}
}

func routeFields(c *call.Call, s *step.Step) []zap.Field {
	choice := &s.Choice
	upstream, domain, version := "", "", ""
	if choice.Target != nil {
		upstream, domain, version = choice.Target.Name, choice.Target.Domain, choice.Target.Version
	}
	return []zap.Field{
		zap.Uint64("call", c.ID), zap.String("mark", cut(c.RequestID)), zap.String("service", c.Service), zap.String("route", c.Route), zap.String("account", c.Account),
		zap.Stringer("step", s.Stage), zap.Stringer("reason", s.Reason), zap.Int("attempt", s.Attempt),
		zap.String("upstream", upstream), zap.String("domain", domain), zap.String("version", version),
		zap.Duration("wait", choice.PredictedWait), zap.Float64("load", choice.Load), zap.Float64("room", choice.Free), zap.Float64("pace", choice.Slowdown), zap.Duration("age", choice.ReportAge),
		zap.Int("limit", choice.AdmitLimit), zap.Int("waiting", choice.AdmitWaiting), zap.Stringer("fate", s.Outcome),
		zap.Int("out", choice.SkippedUnavailable), zap.Int("leaving", choice.SkippedDraining), zap.Int("cold", choice.SkippedCold), zap.Int("open", choice.SkippedCircuitOpen),
		zap.Int("conns", choice.SkippedConnLimit), zap.Int("busy", choice.SkippedBusy), zap.Int("limited", choice.SkippedLimited), zap.Int("paused", choice.SkippedPaused), zap.Int("tried", choice.SkippedTried),
	}
}

// AttemptEnd logs the result of an attempt with the load that the upstream reported in its response.
//
// The time since the call arrived is passed as sinceArrival. Without a load report, the fields busy and pace are -1 and 0.
func (l *Log) AttemptEnd(c *call.Call, attempt int, r *result.Result, sinceArrival time.Duration) {
	ce := l.check("end", r.Cause == cause.None)
	if ce == nil {
		return
	}
	inFlight, slowdown := -1, 0.0
	if r.Report != nil {
		inFlight, slowdown = r.Report.InFlight, r.Report.Slowdown
	}
	ce.Write(zap.Uint64("call", c.ID), zap.String("mark", cut(c.RequestID)), zap.Int("attempt", attempt),
		zap.Stringer("cause", r.Cause), zap.Int("status", r.Status), zap.Duration("took", r.Latency),
		zap.Duration("since", sinceArrival), zap.Int("busy", inFlight), zap.Float64("pace", slowdown))
}

// CutCall logs a call that a planned stop ends without an answer. The times say how long after the start of the stop the call
// arrived and its connection was accepted; they are negative for what came before. Sent means that an attempt has begun.
func (l *Log) CutCall(c *call.Call, arrived, opened time.Duration, sent bool) {
	if ce := l.check("cut", false); ce != nil {
		ce.Write(zap.Uint64("call", c.ID), zap.String("mark", cut(c.RequestID)), zap.String("service", c.Service), zap.String("route", c.Route),
			zap.Duration("arrived", arrived), zap.Duration("opened", opened), zap.Bool("sent", sent), zap.Bool("safe", c.Idempotent))
	}
}

// EarlyRefusal logs a call that is refused before any routing decision; status is the HTTP status of the answer, and text its
// body.
func (l *Log) EarlyRefusal(requestID, host, path string, status int, why reason.Reason, b basis.Basis, text string) {
	if ce := l.check("early", false); ce != nil {
		ce.Write(append(ownFields(status, b), zap.String("mark", cut(requestID)), zap.String("host", cut(host)), zap.String("path", cut(path)),
			zap.Stringer("reason", why), zap.String("text", cut(text)))...)
	}
}

// ServerAnswer logs an answer of the HTTP server to a request that no handler has seen, or the end of a connection in the middle
// of one, with status 0.
func (l *Log) ServerAnswer(caller netip.AddrPort, status int, why reason.Reason, b basis.Basis) {
	if ce := l.check("server", false); ce != nil {
		ce.Write(append(ownFields(status, b), zap.Stringer("caller", caller), zap.Stringer("reason", why))...)
	}
}

// Abort logs a call whose connection the entry closes without a whole answer, with the error that the response ended in.
func (l *Log) Abort(c *call.Call, why reason.Reason, b basis.Basis, err error) {
	if ce := l.check("abort", false); ce != nil {
		ce.Write(append(ownFields(0, b), zap.Uint64("call", c.ID), zap.String("mark", cut(c.RequestID)), zap.Stringer("reason", why), zap.String("text", cut(err.Error())))...)
	}
}

// ConfigInForce logs that a configuration of the operators has come into force.
func (l *Log) ConfigInForce(s *snap.Snapshot, b basis.Basis) {
	ce := l.check("config", false)
	if ce == nil {
		return
	}
	rules, upstreams := 0, 0
	if s.Rules != nil {
		rules = s.Rules.Len()
	}
	for _, cfg := range s.Services {
		upstreams += len(cfg.Targets)
	}
	ce.Write(zap.Int64("revision", s.Revision.Number()), zap.Int64("version", s.Version), zap.Int("rules", rules),
		zap.Int("services", len(s.Services)), zap.Int("upstreams", upstreams), zap.Duration("lag", b.Age), zap.String("from", s.Source),
		zap.Int("accounts", s.Accounts.Accounts()), zap.Int("keys", s.Accounts.Keys()))
}

// Panic logs a recovered panic with its value and the stack of the goroutine; requestID is that of the call it ended, if any.
func (l *Log) Panic(where, requestID string, value any) {
	if ce := l.check("panic", false); ce != nil {
		ce.Write(zap.String("where", where), zap.String("mark", cut(requestID)), zap.Any("value", value), zap.StackSkip("stack", 1))
	}
}

// ControlDecision logs a placement decision of control.
func (l *Log) ControlDecision(m logmsg.Message) {
	if ce := l.check("place", false); ce != nil {
		ce.Write(zap.Stringer("what", m.Type), zap.String("subject", m.Subject),
			zap.String("reason", m.Reason), zap.Int("share", m.Permille))
	}
}
