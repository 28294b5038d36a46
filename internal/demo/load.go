package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
)

// loadGen is the callers with what they saw.
type loadGen struct {
	demo          *Demo
	http          *http.Client
	wg            sync.WaitGroup
	mu            sync.Mutex
	rand          *rand.Rand
	next          int
	counts        counts
	directLatency *hdrhistogram.Histogram
	entryLatency  *hdrhistogram.Histogram
	// notRun are the calls whose every sending was refused as not run.
	notRun map[string]bool
	// avoid is a failure domain that direct calls stay away from.
	avoid string
}

type counts struct {
	calls, answered, notRun, failed, mismatched, truncated, idempotent, unanswered int
}

// Limits of the latency histograms in microseconds.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	digits           = 3
)

// Parts of the load.
const (
	directPart    = 0.2
	postPart      = 0.25
	duplicatePart = 0.1
	thinkTime     = 8 * time.Millisecond
	callTimeout   = 5 * time.Second
	pollPeriod    = 100 * time.Millisecond
)

func newLoadGen(d *Demo) *loadGen {
	l := &loadGen{
		demo: d, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: d.Callers}},
		rand: rand.New(rand.NewPCG(7, 7)), notRun: map[string]bool{},
		directLatency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, digits),
		entryLatency:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, digits),
	}
	return l
}

// runCallers runs the callers until their time is over.
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

// healthChecker stands in for the platform's; its loop is a goroutine.
type healthChecker struct {
	demo *Demo
	ctx  context.Context
}

func (b *healthChecker) loop() {
	for b.ctx.Err() == nil {
		for _, p := range b.demo.entries {
			p.checkReady()
		}
		pause(b.demo.clock, pollPeriod)
	}
}

// caller makes one call at a time.
type caller struct {
	load *loadGen
	ctx  context.Context
}

func (c *caller) loop() {
	defer c.load.wg.Done()
	for c.ctx.Err() == nil {
		name, roll := c.load.nextCall()
		switch {
		case roll < directPart:
			c.direct(name)
		case roll < directPart+postPart:
			c.post(name)
		default:
			c.get(name)
		}
		pause(c.load.demo.clock, thinkTime)
	}
}

// nextCall names the next call and decides its kind.
func (l *loadGen) nextCall() (string, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("call-%d", l.next), l.rand.Float64()
}

func (l *loadGen) randIntN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.IntN(n)
}

// pickReadyEntry picks an entry that the balancer holds ready.
func (l *loadGen) pickReadyEntry() netip.AddrPort {
	var ready []netip.AddrPort
	for _, p := range l.demo.entries {
		if p.ready.Load() {
			ready = append(ready, p.front)
		}
	}
	if len(ready) == 0 {
		return l.demo.entries[0].front
	}
	return ready[l.randIntN(len(ready))]
}

// direct calls an upstream without an entry, to know what the entry adds.
func (c *caller) direct(name string) {
	b := c.load.demo.upstreams[c.load.randIntN(lookupUpstreams)]
	if c.load.avoids(b.domain) {
		return
	}
	start := c.load.demo.clock.Now()
	o := c.send(http.MethodGet, fmt.Sprintf("http://%s/align?call=%s", b.addr, name), "", name)
	if o.status == http.StatusOK {
		c.load.record(c.load.directLatency, c.load.demo.clock.Now().Sub(start))
	}
}

// avoidDomain keeps direct calls away from a failure domain, so that all its work comes from entries.
func (l *loadGen) avoidDomain(domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoid = domain
}

func (l *loadGen) avoids(domain string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.avoid == domain
}

// get makes an idempotent call through an entry.
func (c *caller) get(name string) {
	start := c.load.demo.clock.Now()
	o := c.send(http.MethodGet, fmt.Sprintf("http://%s/lookup/align?call=%s", c.load.pickReadyEntry(), name), "", name)
	if o.status == http.StatusOK {
		c.load.record(c.load.entryLatency, c.load.demo.clock.Now().Sub(start))
	}
	c.load.count(name, o)
	c.load.countIdempotent(o)
}

// post makes a call that must not repeat, and now and then sends it again through another entry.
func (c *caller) post(name string) {
	url := func() string { return fmt.Sprintf("http://%s/payout/confirm?call=%s", c.load.pickReadyEntry(), name) }
	o := c.send(http.MethodPost, url(), name, name)
	again := c.load.randIntN(100) < 100*duplicatePart
	if again || o.outcome != outcom.Answered.String() {
		p := c.send(http.MethodPost, url(), name, name)
		if p.outcome == outcom.Answered.String() || o.outcome == outcom.NotRun.String() {
			o = p
		}
	}
	c.load.count(name, o)
}

type callResult struct {
	status     int
	outcome    string
	mismatched bool
	truncated  bool
}

// send makes one request and checks that the answer is whole and the caller's own.
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
	o := callResult{status: res.StatusCode, outcome: res.Header.Get(wire.Outcome), truncated: err != nil}
	if res.StatusCode == http.StatusOK && err == nil {
		o.mismatched = !strings.Contains(string(data), "call="+name+" ")
	}
	return o
}

func (l *loadGen) record(h *hdrhistogram.Histogram, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Values above the range are bounded by the callers' own limit.
	_ = h.RecordValue(min(d.Microseconds(), maxLatencyMicros))
}

func (l *loadGen) countIdempotent(o callResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.idempotent++
	if o.status != http.StatusOK {
		l.counts.unanswered++
	}
}

func (l *loadGen) count(name string, o callResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.calls++
	switch {
	case o.status == http.StatusOK && !o.truncated:
		l.counts.answered++
	case o.outcome == outcom.NotRun.String():
		l.counts.notRun++
		l.notRun[name] = true
	default:
		l.counts.failed++
	}
	if o.mismatched {
		l.counts.mismatched++
	}
	if o.truncated {
		l.counts.truncated++
	}
}
