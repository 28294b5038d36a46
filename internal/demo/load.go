package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamvale/balsamvale/internal/intact"
	"github.com/balsamvale/balsamvale/internal/resets"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
)

// loadGen generates the load: it runs the callers and records the results of their calls.
type loadGen struct {
	demo *Demo
	http *http.Client
	wg   sync.WaitGroup
	// mu guards the fields below.
	mu            sync.Mutex
	rand          *rand.Rand
	lastCall      int
	counts        counts
	directLatency *hdrhistogram.Histogram
	entryLatency  *hdrhistogram.Histogram
	// notRun holds the calls that were refused as not run every time the caller sent them.
	notRun map[string]bool
	// avoidedDomain is a failure domain whose upstreams get no direct calls.
	avoidedDomain string
}

// counts holds the numbers of calls for the summary.
type counts struct {
	calls, answered, notRun, failed, mismatched, truncated, idempotent, unanswered int
}

// Range of the latency histograms in microseconds, and their precision in significant digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// Mix and timing of the load: directFraction and postFraction are of all calls, duplicateFraction is of the posts.
const (
	directFraction      = 0.2
	postFraction        = 0.25
	duplicateFraction   = 0.1
	thinkTime           = 8 * time.Millisecond
	callTimeout         = 5 * time.Second
	healthCheckInterval = 100 * time.Millisecond
)

// newLoadGen returns the load generator of a demo, with a fixed random seed.
func newLoadGen(d *Demo) *loadGen {
	base := &http.Transport{DialContext: resets.DialContext(&net.Dialer{}), MaxIdleConnsPerHost: d.Callers}
	l := &loadGen{
		demo: d, http: &http.Client{Timeout: callTimeout, Transport: &intact.Transport{Base: base}},
		rand: rand.New(rand.NewPCG(7, 7)), notRun: map[string]bool{},
		directLatency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		entryLatency:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
	return l
}

// runCallers runs the callers for the duration of the demo and waits for their last calls.
func (l *loadGen) runCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.demo.Duration)
	defer cancel()
	go (&healthChecker{l.demo, ctx}).loop()
	for range l.demo.Callers {
		l.wg.Add(1)
		go (&caller{load: l, ctx: ctx}).loop()
	}
	l.wg.Wait()
}

// healthChecker checks the readiness of the entries as the platform's health checks do; its loop method is a goroutine.
type healthChecker struct {
	demo *Demo
	ctx  context.Context
}

func (h *healthChecker) loop() {
	for h.ctx.Err() == nil {
		for _, p := range h.demo.entries {
			p.CheckReady()
		}
		sleep(h.demo.clock, healthCheckInterval)
	}
}

// caller makes one call at a time; its loop method is a goroutine.
type caller struct {
	load *loadGen
	ctx  context.Context
}

func (c *caller) loop() {
	defer c.load.wg.Done()
	for c.ctx.Err() == nil {
		name, roll := c.load.nextCall()
		switch {
		case roll < directFraction:
			c.direct(name)
		case roll < directFraction+postFraction:
			c.post(name)
		default:
			c.get(name)
		}
		sleep(c.load.demo.clock, thinkTime)
	}
}

// nextCall returns the name of the next call and a random number in [0, 1) that decides its kind.
func (l *loadGen) nextCall() (string, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCall++
	return fmt.Sprintf("call-%d", l.lastCall), l.rand.Float64()
}

func (l *loadGen) randIntN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.IntN(n)
}

// pickReadyEntry returns the address of a random entry whose last readiness check succeeded, or of the first entry if
// there is none.
func (l *loadGen) pickReadyEntry() netip.AddrPort {
	var ready []netip.AddrPort
	for _, p := range l.demo.entries {
		if p.Ready() {
			ready = append(ready, p.Front)
		}
	}
	if len(ready) == 0 {
		return l.demo.entries[0].Front
	}
	return ready[l.randIntN(len(ready))]
}

// direct calls an upstream without an entry, to measure the latency that the entry adds.
func (c *caller) direct(name string) {
	u := c.load.demo.upstreams[c.load.randIntN(lookupUpstreams)]
	if c.load.avoids(u.domain) {
		return
	}
	start := c.load.demo.clock.Now()
	r := c.send(http.MethodGet, fmt.Sprintf("http://%s/align?call=%s", u.addr, name), "", name)
	if r.status == http.StatusOK {
		c.load.record(c.load.directLatency, c.load.demo.clock.Now().Sub(start))
	}
}

// avoidDomain ends direct calls to a failure domain, so that all further calls there come from entries.
func (l *loadGen) avoidDomain(domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidedDomain = domain
}

func (l *loadGen) avoids(domain string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.avoidedDomain == domain
}

// get makes an idempotent call through an entry.
func (c *caller) get(name string) {
	start := c.load.demo.clock.Now()
	r := c.send(http.MethodGet, fmt.Sprintf("http://%s/lookup/align?call=%s", c.load.pickReadyEntry(), name), "", name)
	if r.status == http.StatusOK {
		c.load.record(c.load.entryLatency, c.load.demo.clock.Now().Sub(start))
	}
	c.load.count(name, r)
	c.load.countIdempotent(r)
}

// post makes a call that must run at most once. It sends the call a second time if the first was not answered, and in a
// fraction of the other cases as well; any entry may get the second.
func (c *caller) post(name string) {
	url := func() string { return fmt.Sprintf("http://%s/payout/confirm?call=%s", c.load.pickReadyEntry(), name) }
	r := c.send(http.MethodPost, url(), name, name)
	again := c.load.randIntN(100) < 100*duplicateFraction
	if again || r.outcome != outcom.Answered.String() {
		second := c.send(http.MethodPost, url(), name, name)
		if second.outcome == outcom.Answered.String() || r.outcome == outcom.NotRun.String() {
			r = second
		}
	}
	c.load.count(name, r)
}

// callResult is what a caller saw of one request; a request that failed without a response has status 0.
type callResult struct {
	status     int
	outcome    string
	mismatched bool
	truncated  bool
}

// send sends one request, and checks that the answer is complete and belongs to this call.
func (c *caller) send(method, url, key, name string) callResult {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("amount=1&for=" + name)
	}
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return callResult{}
	}
	if key != "" {
		req.Header.Set(wire.IdempotencyKey, key)
	}
	res, err := c.load.http.Do(req)
	if err != nil {
		return callResult{}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	r := callResult{status: res.StatusCode, outcome: res.Header.Get(wire.Outcome), truncated: err != nil}
	if res.StatusCode == http.StatusOK && err == nil {
		r.mismatched = !strings.Contains(string(data), "call="+name+" ")
	}
	return r
}

// record adds a latency to a histogram.
func (l *loadGen) record(h *hdrhistogram.Histogram, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The callers' timeout keeps latencies within the range of the histogram.
	_ = h.RecordValue(min(d.Microseconds(), maxLatencyMicros))
}

// countIdempotent counts an idempotent call, and whether it went unanswered.
func (l *loadGen) countIdempotent(r callResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.idempotent++
	if r.status != http.StatusOK {
		l.counts.unanswered++
	}
}

// count adds the result of a call through an entry to the counts.
func (l *loadGen) count(name string, r callResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.calls++
	switch {
	case r.status == http.StatusOK && !r.truncated:
		l.counts.answered++
	case r.outcome == outcom.NotRun.String():
		l.counts.notRun++
		l.notRun[name] = true
	default:
		l.counts.failed++
	}
	if r.mismatched {
		l.counts.mismatched++
	}
	if r.truncated {
		l.counts.truncated++
	}
}
