package upsim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/report"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// Upstream is an HTTP handler with slots, a short queue and a warm-up.
type Upstream struct {
	// Name is given with each answer, and Version too.
	Name    string
	Version string
	Slots   int
	// Backlog is the number of calls that may wait for a slot.
	Backlog int
	// MeanRunTime is the mean time that a call takes.
	MeanRunTime     time.Duration
	ColdConcurrency int
	Warmup          time.Duration

	Clock clock.Clock

	mu          sync.Mutex
	rand        *rand.Rand
	incarnation uint64
	started     time.Time
	running     int
	waiting     int
	slotSem     chan struct{}
	draining    bool
	failing     bool
	slowdown    float64
	// runs counts the calls run for each idempotency key or call name.
	runs map[string]int
	// coldExcess counts calls beyond what the upstream bears while cold.
	coldExcess int
	probes     int
	silent     map[string]bool
}

// Start makes the upstream ready, cold by its warm-up.
func (u *Upstream) Start(seed uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rand = rand.New(rand.NewPCG(seed, 1))
	u.runs = map[string]int{}
	u.silent = map[string]bool{}
	u.slowdown = 1
	u.slotSem = make(chan struct{}, u.Slots)
	u.restart()
}

func (u *Upstream) restart() {
	u.incarnation = u.rand.Uint64()
	u.started = u.Clock.Now()
}

// Restart makes the upstream cold again without a word.
func (u *Upstream) Restart() { u.withLock(u.restart) }

// SkipWarmup makes the upstream warm at once.
func (u *Upstream) SkipWarmup() { u.withLock(func() { u.started = u.started.Add(-u.Warmup) }) }

// Slow multiplies the time of calls.
func (u *Upstream) Slow(factor float64) { u.withLock(func() { u.slowdown = factor }) }

// Fail makes calls fail at once.
func (u *Upstream) Fail(fail bool) { u.withLock(func() { u.failing = fail }) }

// Drain makes the upstream report that it leaves.
func (u *Upstream) Drain() { u.withLock(func() { u.draining = true }) }

// ColdExcess returns the number of calls beyond what the upstream bore while cold.
func (u *Upstream) ColdExcess() (n int) {
	u.withLock(func() { n = u.coldExcess })
	return n
}

// Probes returns the number of probes.
func (u *Upstream) Probes() (n int) {
	u.withLock(func() { n = u.probes })
	return n
}

// Runs returns the number of runs by the name of the call.
func (u *Upstream) Runs() map[string]int {
	out := map[string]int{}
	u.withLock(func() {
		for k, v := range u.runs {
			out[k] = v
		}
	})
	return out
}

func (u *Upstream) withLock(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
}

// ServeHTTP serves calls, and /load for probes.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		u.withLock(func() { u.probes++ })
		u.report(w, 0)
		return
	}
	w.Header().Set(wire.AttemptID, r.Header.Get(wire.AttemptID))
	if !u.acquireSlot(w, r) {
		return
	}
	defer u.releaseSlot()
	if u.isFailing() {
		u.report(w, 1)
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	u.answer(w, r)
}

// acquireSlot takes a slot, or sheds the call.
func (u *Upstream) acquireSlot(w http.ResponseWriter, r *http.Request) bool {
	u.mu.Lock()
	cold := u.cold()
	if cold && u.running+u.waiting >= u.ColdConcurrency {
		u.coldExcess++
	}
	if u.draining || u.waiting >= u.Backlog && u.running >= u.Slots {
		u.mu.Unlock()
		u.report(w, 0)
		w.Header().Set(wire.Executed, wire.ExecutedNone)
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return false
	}
	u.waiting++
	u.mu.Unlock()
	select {
	case u.slotSem <- struct{}{}:
	case <-r.Context().Done():
		u.withLock(func() { u.waiting-- })
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
	u.running++
	if name := callName(r); name != "" {
		u.runs[name]++
	}
	return true
}

// callName identifies a call over all its attempts.
func callName(r *http.Request) string {
	if k := r.Header.Get(wire.IdempotencyKey); k != "" {
		return k
	}
	return r.URL.Query().Get("call")
}

func (u *Upstream) releaseSlot() {
	<-u.slotSem
	u.withLock(func() { u.running-- })
}

func (u *Upstream) cold() bool { return u.Clock.Now().Sub(u.started) < u.Warmup }

func (u *Upstream) isFailing() (f bool) {
	u.withLock(func() { f = u.failing })
	return f
}

// report writes the load; own is the number of calls that end with this answer.
func (u *Upstream) report(w http.ResponseWriter, own int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set(wire.Load, wire.FormatReport(report.Report{
		InFlight: u.running + u.waiting - own, Slots: u.Slots, Incarnation: u.incarnation,
		Uptime: u.Clock.Now().Sub(u.started), Cold: u.cold(), Draining: u.draining,
	}))
}

// answer runs a call: it reads the body, takes its time, and sends what the query asks for.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	t, stop := u.Clock.Timer(u.duration())
	defer stop()
	select {
	case <-t:
	case <-r.Context().Done():
		return
	}
	u.report(w, 1)
	if size := r.URL.Query().Get("size"); size != "" {
		u.send(w, size)
		return
	}
	body := fmt.Sprintf("%s %s call=%s read=%d\n", u.Name, u.Version, callName(r), n)
	_, _ = io.WriteString(w, body)
}

// duration draws the time of one call.
func (u *Upstream) duration() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.slowdown
	if u.cold() {
		f *= coldFactor
	}
	return time.Duration(f * float64(u.MeanRunTime) * (fixedPart + (1-fixedPart)*u.rand.ExpFloat64()))
}

const (
	// coldFactor is how much longer calls take at a cold upstream.
	coldFactor = 3
	// fixedPart is the part of a call's time that does not vary.
	fixedPart = 0.5
)

// send answers with a body of a given size in bytes.
func (u *Upstream) send(w http.ResponseWriter, size string) {
	left, err := strconv.ParseInt(size, 10, 64)
	if err != nil || left < 0 {
		http.Error(w, "bad size", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Length", size)
	block := strings.Repeat("balsamvale", blockSize/10)
	for left > 0 {
		n := min(left, int64(len(block)))
		if _, err := io.WriteString(w, block[:n]); err != nil {
			return
		}
		left -= n
	}
}

const blockSize = 64 << 10
