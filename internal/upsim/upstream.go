package upsim

import (
	"encoding/hex"
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

// Upstream is an HTTP handler that simulates an upstream with a bounded concurrency, a bounded queue and a warm-up.
type Upstream struct {
	// Name and Version are part of the body of each answer, unless the call asks for a body of a given size.
	Name    string
	Version string
	// Slots is the number of calls that run at once.
	Slots int
	// Backlog is the number of calls that may wait for a slot; further calls are shed.
	Backlog int
	// MeanRunTime is the mean time that a call runs at a warm upstream that is not slowed down.
	MeanRunTime time.Duration
	// ColdConcurrency is the number of calls that may run or wait during the warm-up; more are only counted.
	ColdConcurrency int
	// Warmup is the time after a start in which the upstream is cold.
	Warmup time.Duration

	Clock clock.Clock

	// Begin, if set, is called when a call whose request is whole begins to run; digest covers the request. The function
	// that it returns is called with the end of the run. The answers are then signed (see ReadAnswer).
	Begin func(r *http.Request, digest string) func(End)
	// Draw, if set, draws how each answer is sent.
	Draw func() Delivery

	// mu guards the fields below, except slotSem.
	mu          sync.Mutex
	rand        *rand.Rand
	incarnation uint64
	started     time.Time
	running     int
	waiting     int
	// slotSem holds an element for each slot in use; Start makes it.
	slotSem  chan struct{}
	draining bool
	failing  bool
	slowdown float64
	// runs counts the runs of each call, by its idempotency key or its name.
	runs map[string]int
	// coldExcess counts the calls that arrived above ColdConcurrency while the upstream was cold.
	coldExcess int
	probes     int
	silent     map[string]bool
}

// Start makes the upstream ready to serve; it is cold until its warm-up is over. The seed determines its incarnations
// and run times.
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

// restart begins a new incarnation; the caller holds mu.
func (u *Upstream) restart() {
	u.incarnation = u.rand.Uint64()
	u.started = u.Clock.Now()
}

// Restart gives the upstream a new incarnation that is cold again, without announcing it beforehand.
func (u *Upstream) Restart() { u.withLock(u.restart) }

// SkipWarmup ends the warm-up at once.
func (u *Upstream) SkipWarmup() { u.withLock(func() { u.started = u.started.Add(-u.Warmup) }) }

// Slow sets the factor by which calls take longer than usual; 1 is normal.
func (u *Upstream) Slow(factor float64) { u.withLock(func() { u.slowdown = factor }) }

// Fail makes calls fail at once with status 500, or ends that.
func (u *Upstream) Fail(fail bool) { u.withLock(func() { u.failing = fail }) }

// Drain makes the upstream report that it is draining and shed all further calls.
func (u *Upstream) Drain() { u.withLock(func() { u.draining = true }) }

// Rejoin ends what Drain began; the upstream has a new incarnation.
func (u *Upstream) Rejoin() {
	u.withLock(func() {
		u.draining = false
		u.restart()
	})
}

// ColdExcess returns the number of calls that arrived above ColdConcurrency while the upstream was cold.
func (u *Upstream) ColdExcess() (n int) {
	u.withLock(func() { n = u.coldExcess })
	return n
}

// Probes returns the number of probes received.
func (u *Upstream) Probes() (n int) {
	u.withLock(func() { n = u.probes })
	return n
}

// Runs returns the number of runs of each call, by its idempotency key or its name.
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

// ServeHTTP serves calls, and answers probes at /load.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		u.withLock(func() { u.probes++ })
		u.writeReport(w, 0)
		return
	}
	w.Header().Set(wire.AttemptID, r.Header.Get(wire.AttemptID))
	if !u.acquireSlot(w, r) {
		return
	}
	defer u.releaseSlot()
	if u.isFailing() {
		u.writeReport(w, 1)
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	u.runCall(w, r)
}

// acquireSlot waits for a slot. It reports false if the call was shed or its request was canceled while it waited.
func (u *Upstream) acquireSlot(w http.ResponseWriter, r *http.Request) bool {
	u.mu.Lock()
	cold := u.cold()
	if cold && u.running+u.waiting >= u.ColdConcurrency {
		u.coldExcess++
	}
	if u.draining || u.waiting >= u.Backlog && u.running >= u.Slots {
		u.mu.Unlock()
		u.writeReport(w, 0)
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

// callName returns what identifies a call across its attempts: its idempotency key, or else its query parameter call.
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

// cold reports whether the warm-up is still going on; the caller holds mu.
func (u *Upstream) cold() bool { return u.Clock.Now().Sub(u.started) < u.Warmup }

func (u *Upstream) isFailing() (f bool) {
	u.withLock(func() { f = u.failing })
	return f
}

// writeReport sets the load header; own is the number of calls that end with this answer and are not counted.
func (u *Upstream) writeReport(w http.ResponseWriter, own int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set(wire.Load, wire.FormatReport(report.Report{
		InFlight: u.running + u.waiting - own, Slots: u.Slots, Incarnation: u.incarnation,
		Uptime: u.Clock.Now().Sub(u.started), Cold: u.cold(), Draining: u.draining,
	}))
}

// runCall reads the body, waits for the call's run time, and sends an answer of the size in the query or a short text.
func (u *Upstream) runCall(w http.ResponseWriter, r *http.Request) {
	digest := NewDigest(r.Method, r.RequestURI)
	n, err := io.Copy(digest, r.Body)
	if err != nil {
		return
	}
	sum := hex.EncodeToString(digest.Sum(nil))
	end := func(End) {}
	if u.Begin != nil {
		end = u.Begin(r, sum)
	}
	t, stop := u.Clock.Timer(u.drawRunTime())
	defer stop()
	select {
	case <-t:
	case <-r.Context().Done():
		end(Left)
		return
	}
	u.writeReport(w, 1)
	if u.Begin != nil {
		u.deliver(w, r, sum, end)
		return
	}
	if size := r.URL.Query().Get("size"); size != "" {
		u.sendBody(w, size)
		return
	}
	body := fmt.Sprintf("%s %s call=%s read=%d\n", u.Name, u.Version, callName(r), n)
	_, _ = io.WriteString(w, body)
}

// drawRunTime draws the run time of one call: a fixed part and an exponentially distributed one.
func (u *Upstream) drawRunTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.slowdown
	if u.cold() {
		f *= coldFactor
	}
	return time.Duration(f * float64(u.MeanRunTime) * (fixedFraction + (1-fixedFraction)*u.rand.ExpFloat64()))
}

const (
	// coldFactor is the factor by which calls take longer while the upstream is cold.
	coldFactor = 3
	// fixedFraction is the fraction of the mean run time that does not vary.
	fixedFraction = 0.5
)

// sendBody sends a body of the given size in bytes, or status 400 if size is not a number of bytes.
func (u *Upstream) sendBody(w http.ResponseWriter, size string) {
	left, err := strconv.ParseInt(size, 10, 64)
	if err != nil || left < 0 {
		http.Error(w, "bad size", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Length", size)
	block := strings.Repeat("balsamvale", blockBytes/10)
	for left > 0 {
		n := min(left, int64(len(block)))
		if _, err := io.WriteString(w, block[:n]); err != nil {
			return
		}
		left -= n
	}
}

// blockBytes bounds one write of a body, in bytes.
const blockBytes = 64 << 10
