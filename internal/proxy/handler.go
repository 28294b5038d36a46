package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/records/retry"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/flow"
	"github.com/balsamvale/balsamvale/pkg/traffic/poison"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// Handler is the HTTP handler that callers reach.
type Handler struct {
	// Rule finds the rule of a call; known is false when no rules are in force, and calls name their service in the path.
	Rule func(host, path string) (r *rulrec.Rule, known bool)
	// Bounds returns what callers may send as operators wrote it, or nil for the settings.
	Bounds func() *bounds.Bounds
	// Headers reads and writes headers.
	Headers *header.Codec
	// Configured reports whether a configuration is in force.
	Configured func() bool
	// Service looks up what is in force for a service.
	Service func(name string) (*svcrec.Service, *pool.Pool)
	// Send makes an attempt.
	Send func(ctx context.Context, r *outreq.Request) (*http.Response, result.Result)
	// Probe asks an upstream for its load.
	Probe func(ctx context.Context, name string, addr netip.AddrPort, path string) result.Result
	// Claim and Settle keep idempotency keys.
	Claim         func(ctx context.Context, service string, key, attempt uint64, until time.Time) (dedup.Result, answer.Answer)
	CompleteClaim func(service string, key, attempt uint64, st state.State, a answer.Answer)

	Clock  clock.Clock
	Log    *logs.Log
	Poison *poison.Table
	// Name and Boot make the identities of attempts unique.
	Name        string
	Incarnation uint64
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64

	lastCallID atomic.Uint64
	metrics    *metrics.Set
}

// SetMetrics registers the metrics of the front.
func (f *Handler) SetMetrics(set *metrics.Set) {
	f.metrics = set
}

// countCall counts a call that has ended; the labels come from operators' records, which bounds their number.
func (f *Handler) countCall(c *call.Call, ft outcom.Outcome, why reason.Reason) {
	f.metrics.GetOrCreateCounter(fmt.Sprintf(`balsamvale_calls_total{service=%q,route=%q,fate=%q,reason=%q}`,
		c.Service, c.Route, ft, why)).Inc()
	f.metrics.GetOrCreateHistogram(fmt.Sprintf(`balsamvale_call_seconds{service=%q,fate=%q}`, c.Service, ft)).
		Update(f.Clock.Now().Sub(c.Arrived).Seconds())
}

// ServeHTTP serves one call.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodConnect || strings.Contains(strings.ToLower(r.Header.Get("Connection")), "upgrade") && r.Header.Get("Upgrade") != "h2c" {
		f.refuseEarly(w, r, http.StatusNotImplemented, "upgrades and tunnels are not served")
		return
	}
	if !f.Configured() {
		f.refuseUnconfigured(w, r)
		return
	}
	pl, why := f.matchRoute(r)
	if why != "" {
		f.refuseEarly(w, r, http.StatusNotFound, why)
		return
	}
	if pl.pool == nil {
		f.refuseUnconfigured(w, r)
		return
	}
	if b := f.Bounds(); b != nil && b.MaxHeaderBytes > 0 && headerSize(r) > b.MaxHeaderBytes {
		f.refuseEarly(w, r, http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
		return
	}
	if r.ContentLength > f.bodyLimit() {
		f.refuseEarly(w, r, http.StatusRequestEntityTooLarge, "the body is too large")
		return
	}
	e := &callDriver{handler: f, w: w, r: r, match: pl}
	if err := e.readBody(); err != nil {
		e.refuseBadBody(err)
		return
	}
	e.call = f.newCall(r, pl, e.body, e.buffered)
	e.flow = flow.New(e.call, pl.pool, f.Poison)
	e.serve()
}

// headerSize is the size of a request's head in bytes, as it is written without optional spaces.
func headerSize(r *http.Request) int {
	const ends, line = len(": \r\n"), len("  HTTP/1.1\r\n")
	n := len(r.Method) + len(r.RequestURI) + line + len("Host") + len(r.Host) + ends
	for k, values := range r.Header {
		for _, v := range values {
			n += len(k) + len(v) + ends
		}
	}
	return n
}

// bodyLimit is the largest request body in bytes.
func (f *Handler) bodyLimit() int64 {
	if b := f.Bounds(); b != nil && b.MaxBodyBytes > 0 {
		return min(b.MaxBodyBytes, f.MaxBodyBytes)
	}
	return f.MaxBodyBytes
}

// refuseUnconfigured refuses a call for which no configuration is in force yet.
func (f *Handler) refuseUnconfigured(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Retry-After", strconv.FormatFloat(tune.MinRetryAfter.Seconds(), 'f', -1, 64))
	f.refuseEarly(w, r, http.StatusServiceUnavailable, "no configuration is in force yet")
}

// refuseEarly ends a request that no flow was begun for.
func (f *Handler) refuseEarly(w http.ResponseWriter, r *http.Request, status int, text string) {
	f.Log.EarlyRefusal(f.Headers.RequestID(r.Header), r.Host, r.URL.Path, status, text)
	w.Header().Set(wire.Outcome, flow.OutcomeBeforeClaim(r.Header.Get(wire.IdempotencyKey) != "").String())
	http.Error(w, text, status)
}

// newCall builds what decisions need to know of a request.
func (f *Handler) newCall(r *http.Request, pl routeMatch, body []byte, buffered bool) *call.Call {
	now := f.Clock.Now()
	svc, rt := pl.service, pl.route
	c := &call.Call{
		ID: f.lastCallID.Add(1), RequestID: f.Headers.RequestID(r.Header), Service: svc.Name, Route: rt.Path, Caller: callerAddr(r), Class: rt.Class,
		Idempotent: isIdempotent(rt.Retry, r.Method), Buffered: buffered, BodyBytes: int64(len(body)), Arrived: now,
		Depth: wire.ParseCount(r.Header.Get(wire.Depth)), Attempt: wire.ParseCount(r.Header.Get(wire.AttemptNumber)),
	}
	c.Deadline = deadline(now, f.Headers.RemainingTime(r.Header), pl.timeout, rt.Class)
	if pl.rule != nil {
		c.Priority, c.MaxRuns = pl.rule.Priority, pl.rule.MaxAttempts
		if pl.rule.TargetLatency > 0 {
			c.SoftDeadline = now.Add(pl.rule.TargetLatency)
		}
	}
	key := r.Header.Get(wire.IdempotencyKey)
	c.Fingerprint = fingerprint(svc.Name, r, key, body)
	if key != "" && !c.Idempotent {
		c.Key = max(1, xxhash.Sum64String(svc.Name+"\x00"+key))
	}
	return c
}

// deadline is the caller's own, but no later than the service allows to interactive calls.
func deadline(now time.Time, left, timeout time.Duration, cl class.Class) time.Time {
	if cl == class.Interactive && (left == 0 || left > timeout) {
		left = timeout
	}
	if left == 0 {
		return time.Time{}
	}
	return now.Add(left)
}

// isIdempotent reports whether a call may be sent again.
func isIdempotent(rule retry.Policy, method string) bool {
	switch rule {
	case retry.Always:
		return true
	case retry.Never:
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// callerAddr names who made a request: the client that the platform's balancer saw, or the peer.
func callerAddr(r *http.Request) string {
	if first, _, _ := strings.Cut(r.Header.Get("X-Forwarded-For"), ","); first != "" {
		return strings.TrimSpace(first)
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// fingerprint identifies a request by everything of it that is at hand.
func fingerprint(service string, r *http.Request, key string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{service, r.Method, r.URL.RequestURI(), key} {
		// Write on a digest never fails.
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
