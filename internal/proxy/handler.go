package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/balsamvale/balsamvale/internal/counts"
	"github.com/balsamvale/balsamvale/internal/demux"
	"github.com/balsamvale/balsamvale/internal/flight"
	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/memory"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/control/accts"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/records/retry"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/shared/basis"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/flow"
	"github.com/balsamvale/balsamvale/pkg/traffic/poison"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// Handler is the HTTP handler for calls. Its function fields connect it to the configuration, upstreams and claims.
type Handler struct {
	// Rule returns the rule for a host and path, or nil if none matches. If no rules are in force, known is false and the
	// path names the service.
	Rule func(host, path string) (r *rulrec.Rule, known bool)
	// Bounds returns the operators' limits for requests, or nil if only the settings apply.
	Bounds func() *bounds.Bounds
	// Headers reads and writes the headers of calls and attempts.
	Headers *header.Codec
	// Configured reports whether a configuration is in force.
	Configured func() bool
	// Basis returns the revision and the age of the configuration in force.
	Basis func() basis.Basis
	// Service returns the record and the pool of a service; both are nil if the service is not known.
	Service func(name string) (*svcrec.Service, *pool.Pool)
	// Send sends an attempt to an upstream.
	Send func(ctx context.Context, r *outreq.Request) (*http.Response, result.Result)
	// Probe requests the load report of the named upstream from addr; path is the URL path of the report.
	Probe func(ctx context.Context, name string, addr netip.AddrPort, path string) result.Result
	// Claim claims an idempotency key for a call. The claim that it returns is the one in the store that led to the result, with
	// the answer if the result is dedup.Answered.
	Claim func(ctx context.Context, service string, c claim.Claim) (dedup.Result, claim.Claim)
	// CompleteClaim records the final state and, if it is to be replayed, the answer of a call that holds a claim.
	CompleteClaim func(service string, c claim.Claim)

	Clock  clock.Clock
	Log    *logs.Log
	Poison *poison.Table
	// InFlight holds the calls that are being served.
	InFlight *flight.Table
	// Name and Incarnation make the IDs of attempts unique.
	Name        string
	Incarnation uint64
	// Stopping is closed when the entry stops and calls that still wait are to be refused; it may be nil.
	Stopping <-chan struct{}
	// Admits reports whether a call that arrives now is served; otherwise it is refused, since the entry stops. The deadline of the
	// call is the zero time if it has none.
	Admits func(deadline time.Time) bool
	// Memory bounds what the calls keep of request and response bodies; nil for no limit. A call whose request does not fit is
	// refused, a response that does not fit is streamed.
	Memory *memory.Budget
	// MaxBodyBytes is the maximum size of a request body in bytes while Bounds has none.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum size of a request head in bytes while Bounds has none; 0 for no limit.
	MaxHeaderBytes int

	// Accounts returns the client accounts, or nil if calls need no key; it may be nil.
	Accounts func() *accts.Table
	// AccountsAge returns the time since Accounts was last known to match the store; negative if it never was. What is looked up in
	// Accounts later is of that age or newer.
	AccountsAge func() time.Duration
	// Usage counts the attempts of calls of client accounts; nil if nothing is counted.
	Usage *counts.Meter
	// MaxKeyAge is the age of the accounts up to which keys are accepted; 0 for no limit.
	MaxKeyAge time.Duration

	// MaxConfigAge is the age of the configuration up to which it tells that a route or service does not exist; 0 for no limit.
	MaxConfigAge time.Duration

	// shares holds the share of Memory for each service, so that the calls of one leave room for those of others.
	shares     sync.Map
	lastCallID atomic.Uint64
	metrics    *metrics.Set
}

// SetMetrics sets the metrics set in which calls are counted. It must be called before the first request.
func (h *Handler) SetMetrics(set *metrics.Set) {
	h.metrics = set
}

// countCall counts a call that has ended and records its duration; waited is set if it waited for admission or an upstream. The label values come from operators' records, which limits
// their number.
func (h *Handler) countCall(c *call.Call, outcome outcom.Outcome, why reason.Reason, waited bool) {
	h.metrics.GetOrCreateCounter(fmt.Sprintf(`balsamvale_calls_total{service=%q,route=%q,fate=%q,reason=%q}`,
		c.Service, c.Route, outcome, why)).Inc()
	h.metrics.GetOrCreateHistogram(fmt.Sprintf(`balsamvale_call_seconds{service=%q,fate=%q}`, c.Service, outcome)).
		Update(h.Clock.Now().Sub(c.Arrived).Seconds())
	h.countFor("balsamvale_calls_late_total", c, outcome == outcom.Answered && !c.SoftDeadline.IsZero() && h.Clock.Now().After(c.SoftDeadline))
	h.countFor("balsamvale_calls_waited_total", c, waited)
}

// countFor counts a call in a metric by service and route if counts is set. The metric exists from the first call on.
func (h *Handler) countFor(metric string, c *call.Call, counts bool) {
	counter := h.metrics.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q,route=%q}`, metric, c.Service, c.Route))
	if counts {
		counter.Inc()
	}
}

// countOwn counts an answer that the entry made itself, or with status 0 a connection that it closed without a whole answer.
func (h *Handler) countOwn(status int, why reason.Reason) {
	h.metrics.GetOrCreateCounter(fmt.Sprintf(`balsamvale_own_answers_total{status="%d",reason=%q}`, status, why)).Inc()
}

// RecordServerAnswer logs and counts an answer of the HTTP server to a request that did not reach the handler, or with status 0
// the end of a connection in the middle of a request.
func (h *Handler) RecordServerAnswer(caller netip.AddrPort, status int, why reason.Reason) {
	h.countOwn(status, why)
	h.Log.ServerAnswer(caller, status, why, h.Basis())
}

// ServeHTTP serves one call. A panic is logged with the ID of the request and aborts the connection.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if v != http.ErrAbortHandler {
			h.Log.Panic("call", h.Headers.RequestID(r.Header), v)
			h.countOwn(0, reason.Panicked)
		}
		panic(http.ErrAbortHandler)
	}()
	h.serve(w, r)
}

// serve refuses a request that cannot be served, or drives its call.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	b := h.Basis()
	m, ok := h.matchOrRefuse(w, r, b)
	if !ok {
		return
	}
	d := &callDriver{handler: h, w: w, r: r, match: m, basis: b, memory: h.memoryOf(m.service.Name).Part(0)}
	defer d.memory.Close()
	if !d.memory.Reserve(requestMemory(r)) {
		h.refuseUnserved(w, r, b, reason.NoMemory, "no memory for the call")
		return
	}
	arrived := h.Clock.Now()
	limit := deadline(arrived, h.Headers.RemainingTime(r.Header), m.timeout, m.route.Class)
	if !h.Admits(limit) {
		h.refuseUnserved(w, r, b, reason.Stopping, "the entry stops")
		return
	}
	switch err := d.readBodyUntil(limit); {
	case errors.Is(err, errNoMemory):
		w.Header().Set("Connection", "close")
		h.refuseUnserved(w, r, b, reason.NoMemory, err.Error())
		return
	case err != nil:
		d.refuseBadBody(err)
		return
	}
	if h.isStopping() {
		d.closeUnlessBodyRead()
		h.refuseUnserved(w, r, b, reason.Stopping, "the entry stops")
		return
	}
	d.call = h.newCall(r, m, d.body, d.buffered, arrived)
	d.call.Deadline = limit
	d.flow = flow.New(d.call, m.pool, h.Poison)
	h.InFlight.Add(d.call, demux.OpenedAt(r.Context()))
	defer h.InFlight.Remove(d.call)
	d.serve()
}

// matchOrRefuse returns the match of a request that the configuration b allows, or refuses the request.
func (h *Handler) matchOrRefuse(w http.ResponseWriter, r *http.Request, b basis.Basis) (routeMatch, bool) {
	if r.Method == http.MethodConnect || strings.Contains(strings.ToLower(r.Header.Get("Connection")), "upgrade") && r.Header.Get("Upgrade") != "h2c" {
		h.refuseEarly(w, r, b, http.StatusNotImplemented, reason.Unsupported, "upgrades and tunnels are not served")
		return routeMatch{}, false
	}
	if !h.Configured() {
		h.refuseUnserved(w, r, b, reason.Unconfigured, "no configuration is in force yet")
		return routeMatch{}, false
	}
	m, why, text := h.matchRoute(r)
	if why != reason.None && why != reason.Defective && h.isOutdated(b) {
		h.refuseUnserved(w, r, b, reason.Outdated, text+" in a configuration that may be out of date")
		return routeMatch{}, false
	}
	if why == reason.Defective {
		h.refuseUnserved(w, r, b, why, text)
		return routeMatch{}, false
	}
	if why != reason.None {
		h.refuseEarly(w, r, b, http.StatusNotFound, why, text)
		return routeMatch{}, false
	}
	if m.pool == nil {
		h.refuseUnserved(w, r, b, reason.Unconfigured, "no service of the route is in force")
		return routeMatch{}, false
	}
	if !h.identifyOrRefuse(w, r, b, &m) {
		return routeMatch{}, false
	}
	if limit := h.headLimit(); limit > 0 && headSize(r) > limit {
		h.refuseTooLarge(w, r, b, http.StatusRequestHeaderFieldsTooLarge, reason.HeaderTooLarge, "the header is too large")
		return routeMatch{}, false
	}
	if r.ContentLength > h.bodyLimit() {
		h.refuseTooLarge(w, r, b, http.StatusRequestEntityTooLarge, reason.BodyTooLarge, "the body is too large")
		return routeMatch{}, false
	}
	return m, true
}

// isOutdated reports whether the store may have had a newer configuration for longer than MaxConfigAge, so that what b lacks may
// exist. Callers come back after 503, but not after 404.
func (h *Handler) isOutdated(b basis.Basis) bool {
	return b.Age < 0 || h.MaxConfigAge > 0 && b.Age > h.MaxConfigAge
}

// memoryOf returns the share of Memory for the calls of a service. The names come from operators' records, which limits their number.
func (h *Handler) memoryOf(service string) *memory.Budget {
	if m, ok := h.shares.Load(service); ok {
		return m.(*memory.Budget)
	}
	m, _ := h.shares.LoadOrStore(service, h.Memory.Share())
	return m.(*memory.Budget)
}

// isStopping reports whether calls that have not been sent to an upstream are to be refused.
func (h *Handler) isStopping() bool {
	select {
	case <-h.Stopping:
		return true
	default:
		return false
	}
}

// idleTimeout returns how long a caller may take nothing of its response: the operators' idle timeout, or else the default.
func (h *Handler) idleTimeout() time.Duration {
	if b := h.Bounds(); b != nil && b.IdleTimeout > 0 {
		return b.IdleTimeout
	}
	return tune.CallerIdleTimeout
}

// refuseUnserved refuses a call with status 503 before it is looked at; another entry may serve it at once.
func (h *Handler) refuseUnserved(w http.ResponseWriter, r *http.Request, b basis.Basis, why reason.Reason, text string) {
	h.prepareUnserved(w.Header(), why)
	h.refuseEarly(w, r, b, http.StatusServiceUnavailable, why, text)
}

// prepareUnserved sets the headers of a response with status 503 to a call that was not looked at.
func (h *Handler) prepareUnserved(header http.Header, why reason.Reason) {
	h.Headers.PrepareRefusal(header, &step.Step{Outcome: outcom.NotRun, Reason: why}, tune.MinRetryAfter)
}

// refuseEarly logs, counts and refuses a request before a flow is started for it; text is the body of the response.
func (h *Handler) refuseEarly(w http.ResponseWriter, r *http.Request, b basis.Basis, status int, why reason.Reason, text string) {
	h.countOwn(status, why)
	h.Log.EarlyRefusal(h.Headers.RequestID(r.Header), r.Host, r.URL.Path, status, why, b, text)
	h.Headers.SetOutcome(w.Header(), flow.OutcomeBeforeClaim(h.Headers.IdempotencyKey(r.Header) != ""), reason.None)
	http.Error(w, text, status)
}

// newCall returns the data of a request that routing and retry decisions need, apart from its deadline. The request arrived, with
// its head, at the given time.
func (h *Handler) newCall(r *http.Request, m routeMatch, body []byte, buffered bool, arrived time.Time) *call.Call {
	svc, rt := m.service, m.route
	c := &call.Call{
		ID: h.lastCallID.Add(1), RequestID: h.Headers.RequestID(r.Header), Service: svc.Name, Route: rt.Path, Caller: h.Headers.Caller(r), Class: rt.Class,
		Idempotent: isIdempotent(rt.Retry, r.Method), Buffered: buffered, BodyBytes: int64(len(body)), Arrived: arrived,
		Depth: h.Headers.Depth(r.Header), Attempt: h.Headers.AttemptNumber(r.Header),
	}
	if m.rule != nil {
		c.Priority, c.MaxRuns = m.rule.Priority, m.rule.MaxAttempts
		if m.rule.TargetLatency > 0 {
			c.SoftDeadline = arrived.Add(m.rule.TargetLatency)
		}
	}
	m.identity.apply(c)
	key := h.Headers.IdempotencyKey(r.Header)
	c.Fingerprint = fingerprint(svc.Name, r, key, body)
	if key != "" && !c.Idempotent {
		c.Key = max(1, xxhash.Sum64String(svc.Name+"\x00"+key))
	}
	return c
}

// deadline returns the deadline of a call that arrived at a time, or the zero time for none. It is the caller's own, which
// timeLeft gives (0 for none); an interactive call gets timeout at most.
func deadline(arrived time.Time, timeLeft, timeout time.Duration, cl class.Class) time.Time {
	if cl == class.Interactive && (timeLeft == 0 || timeLeft > timeout) {
		timeLeft = timeout
	}
	if timeLeft == 0 {
		return time.Time{}
	}
	return arrived.Add(timeLeft)
}

// isIdempotent reports whether a call may be sent more than once: by the retry policy or else by the method.
func isIdempotent(policy retry.Policy, method string) bool {
	switch policy {
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

// fingerprint returns a hash of the service, method, URI, idempotency key and body of a request. The body is nil if it is
// streamed.
func fingerprint(service string, r *http.Request, key string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{service, r.Method, r.URL.RequestURI(), key} {
		// Writes to a digest never fail.
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
