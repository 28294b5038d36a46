package logs

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/shared/basis"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// stalledWriter is a writer that blocks until release is closed, and keeps what is written.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *stalledWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

// frozenClock is a clock whose time changes only through advance; its timers run in real time.
type frozenClock struct {
	clock.Clock
	mu  sync.Mutex
	now time.Time
}

func (c *frozenClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *frozenClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

var _ = Describe("The log", func() {
	c := &call.Call{ID: 1, RequestID: "m"}

	It("never blocks on a blocked writer, and counts the dropped lines", func() {
		w := &stalledWriter{release: make(chan struct{})}
		clk := &frozenClock{Clock: clock.Wall(), now: time.Unix(1000, 0)}
		l := New(w, clk, zapcore.InfoLevel, 1)
		for range 20 {
			for range maxLinesPerSecond {
				l.RouteDecision(c, &step.Step{Stage: stage.Refuse})
			}
			clk.advance(time.Second)
		}
		Expect(l.Dropped()).To(BeNumerically(">", 0))
		close(w.release)
		l.Close()
		Expect(w.text()).To(ContainSubstring(`"mark":"m"`))
	})

	It("limits the lines in a second, reserves room for refusals, and logs how many lines it suppressed", func() {
		w := &stalledWriter{release: make(chan struct{})}
		close(w.release)
		clk := &frozenClock{Clock: clock.Wall(), now: time.Unix(1000, 0)}
		l := New(w, clk, zapcore.InfoLevel, 1)
		for range 2 * maxLinesPerSecond {
			l.RouteDecision(c, &step.Step{Stage: stage.Send})
		}
		for range 50 {
			l.RouteDecision(c, &step.Step{Stage: stage.Refuse})
		}
		clk.advance(time.Second)
		l.RouteDecision(c, &step.Step{Stage: stage.Send})
		l.Close()
		Expect(strings.Count(w.text(), `"step":"send"`)).To(Equal(maxRoutinePerSecond + 1))
		Expect(strings.Count(w.text(), `"step":"refuse"`)).To(Equal(50))
		Expect(w.text()).To(ContainSubstring(`"log lines suppressed by the rate limit","count":800`))
	})

	It("cuts long messages of libraries, and limits their number", func() {
		w := &stalledWriter{release: make(chan struct{})}
		close(w.release)
		l := New(w, &frozenClock{Clock: clock.Wall(), now: time.Unix(1000, 0)}, zapcore.InfoLevel, 1)
		message := strings.Repeat("x", 16<<10)
		for range 2 * maxLinesPerSecond {
			n, err := l.LibraryWriter().Write([]byte(message + "\n"))
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(len(message) + 1))
		}
		l.Close()
		Expect(strings.Count(w.text(), `"msg":"library","text":"xxx`)).To(Equal(maxRoutinePerSecond))
		Expect(strings.Count(w.text(), `"size":16384`)).To(Equal(maxRoutinePerSecond))
		Expect(len(w.text())).To(BeNumerically("<", 2*maxText*maxRoutinePerSecond))
	})

	// The queue of a log that nobody reads held megabytes of paths and IDs that callers had sent.
	for _, tc := range []struct {
		name  string
		write func(l *Log, long string)
	}{
		{"of an early refusal", func(l *Log, long string) { l.EarlyRefusal(long, long, long, 404, reason.NoRule, basis.Basis{}, long) }},
		{"of a refusal", func(l *Log, long string) {
			l.Refusal(&call.Call{ID: 1, RequestID: long}, &step.Step{Stage: stage.Refuse}, 503, basis.Basis{})
		}},
		{"of an aborted call", func(l *Log, long string) {
			l.Abort(&call.Call{ID: 1, RequestID: long}, reason.ResponseCut, basis.Basis{}, errors.New(long))
		}},
		{"of a routing decision", func(l *Log, long string) {
			l.RouteDecision(&call.Call{ID: 1, RequestID: long}, &step.Step{Stage: stage.Refuse})
		}},
		{"of the end of an attempt", func(l *Log, long string) {
			l.AttemptEnd(&call.Call{ID: 1, RequestID: long}, 0, &result.Result{Cause: cause.Timeout}, 0)
		}},
		{"of a cut call", func(l *Log, long string) { l.CutCall(&call.Call{ID: 1, RequestID: long}, 0, 0, true) }},
		{"of a panic", func(l *Log, long string) { l.Panic("call", long, "v") }},
	} {
		It("cuts what callers send in a line "+tc.name, func() {
			w := &stalledWriter{release: make(chan struct{})}
			close(w.release)
			l := New(w, &frozenClock{Clock: clock.Wall(), now: time.Unix(1000, 0)}, zapcore.InfoLevel, 1)
			tc.write(l, strings.Repeat("x", 64<<10))
			l.Close()
			Expect(w.text()).To(ContainSubstring(strings.Repeat("x", maxText)))
			Expect(w.text()).NotTo(ContainSubstring(strings.Repeat("x", maxText+1)))
		})
	}
})
