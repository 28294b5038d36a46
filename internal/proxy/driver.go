package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/flow"
)

// callDriver drives the flow of one call; the handler's goroutine owns it.
type callDriver struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	match   routeMatch
	call    *call.Call
	flow    *flow.Flow

	body     []byte
	buffered bool
	// chunked is set for a buffered body whose length the caller did not say.
	chunked       bool
	stream        *stream
	attempts      []*attempt
	responded     chan *attempt
	dequeued      chan choice.Choice
	savedResponse answer.Answer
}

// attempt is one request to an upstream; its run method is a goroutine.
type attempt struct {
	id        int
	req       *outreq.Request
	ctx       context.Context
	cancel    context.CancelFunc
	handler   *Handler
	responded chan<- *attempt
	res       *http.Response
	result    result.Result
	// fullBody is the body of an answer that was read before it is passed on.
	fullBody []byte
}

// run makes the attempt and hands over the head of the answer.
func (a *attempt) run() {
	a.res, a.result = a.handler.Send(a.ctx, a.req)
	if a.res != nil && a.result.Cause != cause.Shed {
		a.bufferResponse()
	}
	a.responded <- a
}

// serve follows the flow's steps until the caller has its outcome.
func (e *callDriver) serve() {
	defer e.stopBody()
	e.responded = make(chan *attempt, tune.MaxAttempts)
	e.dequeued = make(chan choice.Choice, 1)
	e.flow.Wake = func(ch choice.Choice) { e.dequeued <- ch }
	s := e.flow.Start(e.now())
	for {
		switch s.Stage {
		case stage.Claim:
			s = e.claimKey()
			continue
		case stage.Probe:
			s = e.probeCandidates(s)
			continue
		case stage.Send:
			e.handler.Log.RouteDecision(e.call, &s)
			e.startAttempt(s)
		case stage.Deliver:
			e.deliver(s)
			return
		case stage.Replay:
			e.replay(s)
			return
		case stage.Refuse:
			e.handler.Log.RouteDecision(e.call, &s)
			e.refuse(s)
			return
		}
		s = e.awaitEvent(s.TimerAt)
	}
}

func (e *callDriver) now() time.Time { return e.handler.Clock.Now() }

// awaitEvent returns the step after the next thing that happens.
func (e *callDriver) awaitEvent(alarm time.Time) step.Step {
	var rings <-chan time.Time
	if !alarm.IsZero() {
		t, stop := e.handler.Clock.Timer(alarm.Sub(e.now()))
		defer stop()
		rings = t
	}
	select {
	case a := <-e.responded:
		e.handler.Log.AttemptEnd(e.call, a.id, &a.result, e.now().Sub(e.call.Arrived))
		s := e.flow.AttemptResult(e.now(), a.id, a.result)
		if s.Stage != stage.Deliver {
			a.discard()
		}
		return s
	case ch := <-e.dequeued:
		return e.flow.Woken(e.now(), ch)
	case <-rings:
		return e.flow.TimerFired(e.now())
	case <-e.r.Context().Done():
		return e.flow.Cancel(e.now())
	}
}

// claimKey claims the idempotency key.
func (e *callDriver) claimKey() step.Step {
	until := e.now().Add(unboundedClaimTTL)
	if !e.call.Deadline.IsZero() {
		until = e.call.Deadline.Add(tune.ClaimTTL)
	}
	asked := e.now()
	g, a := e.handler.Claim(e.r.Context(), e.call.Service, e.call.Key, e.callID(), until)
	e.savedResponse = a
	if g == dedup.Acquired && e.now().Sub(asked) > tune.ClaimTTL/2 {
		g = dedup.Unavailable
	}
	return e.flow.Claimed(e.now(), g)
}

// unboundedClaimTTL is how long the claim of a call without a deadline holds.
const unboundedClaimTTL = 24 * time.Hour

// callID identifies the call among all that this entry ever served.
func (e *callDriver) callID() uint64 { return e.call.ID }

// startAttempt starts an attempt.
func (e *callDriver) startAttempt(s step.Step) {
	ctx, cancel := context.WithCancel(e.r.Context())
	limit := earlier(e.call.Deadline, s.Choice.CreditUntil)
	if !limit.IsZero() {
		ctx, cancel = context.WithDeadline(e.r.Context(), limit)
	}
	a := &attempt{id: s.Attempt, ctx: ctx, cancel: cancel, handler: e.handler, responded: e.responded}
	a.req = e.newRequest(s, limit)
	e.attempts = append(e.attempts, a)
	go a.run()
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// newRequest builds the outgoing request of an attempt.
func (e *callDriver) newRequest(s step.Step, limit time.Time) *outreq.Request {
	h := e.r.Header.Clone()
	e.handler.Headers.StripRequest(h)
	now := e.now()
	left := time.Duration(0)
	if !limit.IsZero() {
		left = limit.Sub(now)
	}
	id := e.handler.Headers.PrepareAttempt(h, e.call, &s, e.handler.Name+"."+strconv.FormatUint(e.handler.Incarnation, 10), left)
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		h.Set("User-Agent", "")
	}
	req := &outreq.Request{
		Method: e.r.Method, RequestURI: e.match.requestURI, Host: e.r.Host, Header: h,
		ID:         id,
		Idempotent: e.call.Idempotent, Addr: s.Choice.Target.Addr, OnInformational: e.forwardInformational, SentAt: now,
	}
	if e.buffered {
		req.Body, req.Buffered, req.Chunked = e.body, true, e.chunked
	} else {
		req.Stream, req.StreamLength, req.Trailer = e.stream, e.r.ContentLength, e.r.Trailer
		req.BodyFailed = func() bool { return e.stream.readErr() != nil }
	}
	return req
}

// forwardInformational passes a 1xx answer on.
func (e *callDriver) forwardInformational(status int, h http.Header) {
	for k, v := range h {
		e.w.Header()[k] = v
	}
	e.w.WriteHeader(status)
	for k := range h {
		e.w.Header().Del(k)
	}
}

// discard closes an answer that nobody wants.
func (a *attempt) discard() {
	a.cancel()
	if a.res != nil {
		_ = a.res.Body.Close()
	}
}

// cancelOthers ends the attempts that did not win and accounts for late events.
func (e *callDriver) cancelOthers(winner int) {
	now := e.now()
	e.flow.CloseOthers(now, winner)
	running := 0
	for _, a := range e.attempts {
		if a.id != winner {
			a.cancel()
			running++
		}
	}
	if e.flow.Waiting() {
		e.flow.ReleaseLate(now, <-e.dequeued)
	}
}

// deliver gives the winning answer to the caller, whole or visibly broken.
func (e *callDriver) deliver(s step.Step) {
	a := e.attempts[s.Attempt]
	e.cancelOthers(a.id)
	defer a.cancel()
	defer func() { _ = a.res.Body.Close() }()
	h := e.w.Header()
	for k, v := range a.res.Header {
		h[k] = v
	}
	e.handler.Headers.PrepareResponse(h)
	for k := range a.res.Trailer {
		h.Add("Trailer", k)
	}
	e.w.WriteHeader(a.res.StatusCode)
	kept, err := e.copyBody(a)
	e.flow.Close(e.now(), a.id)
	e.completeClaim(a, kept, err)
	if err != nil {
		// The connection is cut, so that the caller cannot take a part for the whole.
		panic(http.ErrAbortHandler)
	}
	for k, v := range a.res.Trailer {
		h[k] = v
	}
	e.handler.countCall(e.call, outcom.Answered, reason.None)
}

// copyBufferSize is the size of the buffer between an upstream and a caller in bytes.
const copyBufferSize = 32 << 10

// copyBody streams the body, and keeps a small one for callers that send the call again.
func (e *callDriver) copyBody(a *attempt) (kept []byte, err error) {
	rc := http.NewResponseController(e.w)
	buf := make([]byte, copyBufferSize)
	total := 0
	for {
		n, rerr := a.res.Body.Read(buf)
		if n > 0 {
			total += n
			if e.call.Key != 0 && total <= tune.MaxClaimResponse {
				kept = append(kept, buf[:n]...)
			}
			if _, err := e.w.Write(buf[:n]); err != nil {
				return kept, err
			}
			if a.res.ContentLength < 0 {
				_ = rc.Flush()
			}
		}
		if errors.Is(rerr, io.EOF) {
			break
		}
		if rerr != nil {
			return kept, rerr
		}
	}
	if total > tune.MaxClaimResponse {
		kept = nil
	}
	return kept, nil
}

// completeClaim records the outcome under the idempotency key.
func (e *callDriver) completeClaim(a *attempt, kept []byte, err error) {
	if e.call.Key == 0 {
		return
	}
	if err != nil || (kept == nil && a.res.ContentLength != 0) {
		e.handler.CompleteClaim(e.call.Service, e.call.Key, e.callID(), state.Unknown, answer.Answer{})
		return
	}
	ans := answer.Answer{Status: a.res.StatusCode, Type: a.res.Header.Get("Content-Type"), Body: kept}
	e.handler.CompleteClaim(e.call.Service, e.call.Key, e.callID(), state.Answered, ans)
}

// replay gives a remembered answer.
func (e *callDriver) replay(s step.Step) {
	h := e.w.Header()
	if e.savedResponse.Type != "" {
		h.Set("Content-Type", e.savedResponse.Type)
	}
	h.Set(wire.Outcome, outcom.Answered.String())
	h.Set(wire.Reason, s.Reason.String())
	e.w.WriteHeader(e.savedResponse.Status)
	_, _ = e.w.Write(e.savedResponse.Body)
	e.handler.countCall(e.call, outcom.Answered, s.Reason)
}

// refuse ends the call without an answer.
func (e *callDriver) refuse(s step.Step) {
	e.cancelOthers(-1)
	if e.call.Key != 0 && s.Reason != reason.ClaimFailed && s.Reason != reason.Duplicate && s.Reason != reason.Poisoned {
		st := state.Unknown
		if s.Outcome == outcom.NotRun {
			st = state.NotRun
		}
		e.handler.CompleteClaim(e.call.Service, e.call.Key, e.callID(), st, answer.Answer{})
	}
	e.handler.countCall(e.call, s.Outcome, s.Reason)
	if e.stream != nil && e.stream.readErr() != nil {
		e.refuseBadBody(e.stream.readErr())
		return
	}
	h := e.w.Header()
	after := time.Duration(0)
	if s.Outcome == outcom.NotRun {
		after = e.retryAfter(s.Choice.PredictedWait)
	}
	e.handler.Headers.PrepareRefusal(h, &s, after)
	http.Error(e.w, "refused: "+s.Reason.String()+"; fate: "+s.Outcome.String(), refusalStatus(s))
}

// retryAfter is the time after which a caller may find room, given the predicted wait.
func (e *callDriver) retryAfter(wait time.Duration) time.Duration {
	return max(tune.MinRetryAfter, wait)
}

// refusalStatus is the HTTP status of a refusal.
func refusalStatus(s step.Step) int {
	switch {
	case s.Reason == reason.Duplicate:
		return http.StatusConflict
	case s.Reason == reason.UnknownService:
		return http.StatusNotFound
	case s.Outcome == outcom.NotRun || s.Reason == reason.ClaimFailed:
		return http.StatusServiceUnavailable
	case s.Reason == reason.Deadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
