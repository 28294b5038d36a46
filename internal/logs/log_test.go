package logs

import (
	"bytes"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// stalledWriter is a writer that blocks until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func (s *stalledWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

// frozenClock is a clock whose time stands until it is moved; its timers are the machine's.
type frozenClock struct {
	clock.Clock
	mu  sync.Mutex
	now time.Time
}

func (s *frozenClock) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *frozenClock) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(d)
}

var _ = Describe("The log", func() {
	c := &call.Call{ID: 1, RequestID: "m"}

	It("never blocks on a stalled writer, and counts what is lost", func() {
		w := &stalledWriter{release: make(chan struct{})}
		cl := &frozenClock{Clock: clock.Wall(), now: time.Unix(1000, 0)}
		l := New(w, cl, zapcore.InfoLevel, 1)
		for range 20 {
			for range maxLinesPerSecond {
				l.RouteDecision(c, &step.Step{Stage: stage.Refuse})
			}
			cl.advance(time.Second)
		}
		Expect(l.Dropped()).To(BeNumerically(">", 0))
		close(w.release)
		l.Close()
		Expect(w.text()).To(ContainSubstring(`"mark":"m"`))
	})

	It("bounds the lines of a second, keeps refusals longest, and says what it left out", func() {
		w := &stalledWriter{release: make(chan struct{})}
		close(w.release)
		cl := &frozenClock{Clock: clock.Wall(), now: time.Unix(1000, 0)}
		l := New(w, cl, zapcore.InfoLevel, 1)
		for range 2 * maxLinesPerSecond {
			l.RouteDecision(c, &step.Step{Stage: stage.Send})
		}
		for range 50 {
			l.RouteDecision(c, &step.Step{Stage: stage.Refuse})
		}
		cl.advance(time.Second)
		l.RouteDecision(c, &step.Step{Stage: stage.Send})
		l.Close()
		Expect(strings.Count(w.text(), `"step":"send"`)).To(Equal(maxRoutinePerSecond + 1))
		Expect(strings.Count(w.text(), `"step":"refuse"`)).To(Equal(50))
		Expect(w.text()).To(ContainSubstring(`"lines left out","count":800`))
	})
})
