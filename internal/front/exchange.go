package front

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
	"github.com/balsamvale/balsamvale/pkg/calls/fate"
	"github.com/balsamvale/balsamvale/pkg/calls/grant"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/flow"
)

// exchange drives the flow of one call; the handler's goroutine owns it.
type exchange struct {
	front *Front
	w     http.ResponseWriter
	r     *http.Request
	place place
	call  *call.Call
	flow  *flow.Flow

	body     []byte
	buffered bool
	// chunked is set for a buffered body whose length the caller did not say.
	chunked  bool
	stream   *stream
	attempts []*attempt
	heads    chan *attempt
	woken    chan choice.Choice
	remember answer.Answer
}

// attempt is one request to an upstream; its run method is a goroutine.
type attempt struct {
	id     int
	req    *outreq.Request
	ctx    context.Context
	cancel context.CancelFunc
	front  *Front
	heads  chan<- *attempt
	res    *http.Response
	result result.Result
	// whole is the body of an answer that was read before it is passed on.
	whole []byte
}

// run makes the attempt and hands over the head of the answer.
func (a *attempt) run() {
	a.res, a.result = a.front.Send(a.ctx, a.req)
	if a.res != nil && a.result.Cause != cause.Shed {
		a.gather()
	}
	a.heads <- a
}

// serve follows the flow's steps until the caller has its outcome.
func (e *exchange) serve() {
	defer e.endStream()
	e.heads = make(chan *attempt, tune.MaxAttempts)
	e.woken = make(chan choice.Choice, 1)
	e.flow.Wake = func(ch choice.Choice) { e.woken <- ch }
	s := e.flow.Start(e.now())
	for {
		switch s.Stage {
		case stage.Claim:
			s = e.claim()
			continue
		case stage.Probe:
			s = e.ask(s)
			continue
		case stage.Send:
			e.front.Log.Route(e.call, &s)
			e.send(s)
		case stage.Deliver:
			e.deliver(s)
			return
		case stage.Replay:
			e.replay(s)
			return
		case stage.Refuse:
			e.front.Log.Route(e.call, &s)
			e.refuse(s)
			return
		}
		s = e.wait(s.TimerAt)
	}
}

func (e *exchange) now() time.Time { return e.front.Clock.Now() }

// wait returns the step after the next thing that happens.
func (e *exchange) wait(alarm time.Time) step.Step {
	var rings <-chan time.Time
	if !alarm.IsZero() {
		t, stop := e.front.Clock.Timer(alarm.Sub(e.now()))
		defer stop()
		rings = t
	}
	select {
	case a := <-e.heads:
		e.front.Log.End(e.call, a.id, &a.result, e.now().Sub(e.call.Arrived))
		s := e.flow.AttemptResult(e.now(), a.id, a.result)
		if s.Stage != stage.Deliver {
			a.drop()
		}
		return s
	case ch := <-e.woken:
		return e.flow.Woken(e.now(), ch)
	case <-rings:
		return e.flow.TimerFired(e.now())
	case <-e.r.Context().Done():
		return e.flow.Cancel(e.now())
	}
}

// claim claims the idempotency key.
func (e *exchange) claim() step.Step {
	until := e.now().Add(runningLife)
	if !e.call.Deadline.IsZero() {
		until = e.call.Deadline.Add(tune.ClaimTTL)
	}
	asked := e.now()
	g, a := e.front.Claim(e.r.Context(), e.call.Service, e.call.Key, e.attemptID(), until)
	e.remember = a
	if g == grant.Acquired && e.now().Sub(asked) > tune.ClaimTTL/2 {
		g = grant.Unavailable
	}
	return e.flow.Claimed(e.now(), g)
}

// runningLife is how long the claim of a call without a deadline holds.
const runningLife = 24 * time.Hour

// attemptID identifies the call among all that this entry ever served.
func (e *exchange) attemptID() uint64 { return e.call.ID }

// send starts an attempt.
func (e *exchange) send(s step.Step) {
	ctx, cancel := context.WithCancel(e.r.Context())
	limit := earlier(e.call.Deadline, s.Choice.CreditUntil)
	if !limit.IsZero() {
		ctx, cancel = context.WithDeadline(e.r.Context(), limit)
	}
	a := &attempt{id: s.Attempt, ctx: ctx, cancel: cancel, front: e.front, heads: e.heads}
	a.req = e.request(s, limit)
	e.attempts = append(e.attempts, a)
	go a.run()
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// request builds the outgoing request of an attempt.
func (e *exchange) request(s step.Step, limit time.Time) *outreq.Request {
	h := e.r.Header.Clone()
	e.front.Dialect.Strip(h)
	now := e.now()
	left := time.Duration(0)
	if !limit.IsZero() {
		left = limit.Sub(now)
	}
	id := e.front.Dialect.Ask(h, e.call, &s, e.front.Name+"."+strconv.FormatUint(e.front.Boot, 10), left)
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		h.Set("User-Agent", "")
	}
	req := &outreq.Request{
		Method: e.r.Method, Target: e.place.target, Host: e.r.Host, Header: h,
		ID:     id,
		Repeat: e.call.Idempotent, Addr: s.Choice.Target.Addr, Early: e.early, Sent: now,
	}
	if e.buffered {
		req.Body, req.Buffered, req.Chunked = e.body, true, e.chunked
	} else {
		req.Stream, req.Length, req.Trailer = e.stream, e.r.ContentLength, e.r.Trailer
		req.Failed = func() bool { return e.stream.failure() != nil }
	}
	return req
}

// early passes a 1xx answer on.
func (e *exchange) early(status int, h http.Header) {
	for k, v := range h {
		e.w.Header()[k] = v
	}
	e.w.WriteHeader(status)
	for k := range h {
		e.w.Header().Del(k)
	}
}

// drop closes an answer that nobody wants.
func (a *attempt) drop() {
	a.cancel()
	if a.res != nil {
		_ = a.res.Body.Close()
	}
}

// finish ends the attempts that did not win and accounts for late events.
func (e *exchange) finish(winner int) {
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
		e.flow.ReleaseLate(now, <-e.woken)
	}
}

// deliver gives the winning answer to the caller, whole or visibly broken.
func (e *exchange) deliver(s step.Step) {
	a := e.attempts[s.Attempt]
	e.finish(a.id)
	defer a.cancel()
	defer func() { _ = a.res.Body.Close() }()
	h := e.w.Header()
	for k, v := range a.res.Header {
		h[k] = v
	}
	e.front.Dialect.Answer(h)
	for k := range a.res.Trailer {
		h.Add("Trailer", k)
	}
	e.w.WriteHeader(a.res.StatusCode)
	kept, err := e.copy(a)
	e.flow.Close(e.now(), a.id)
	e.settle(a, kept, err)
	if err != nil {
		// The connection is cut, so that the caller cannot take a part for the whole.
		panic(http.ErrAbortHandler)
	}
	for k, v := range a.res.Trailer {
		h[k] = v
	}
	e.front.count(e.call, fate.Answered, reason.None)
}

// copyBuffer is the size of the buffer between an upstream and a caller in bytes.
const copyBuffer = 32 << 10

// copy streams the body, and keeps a small one for callers that send the call again.
func (e *exchange) copy(a *attempt) (kept []byte, err error) {
	rc := http.NewResponseController(e.w)
	buf := make([]byte, copyBuffer)
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

// settle records the outcome under the idempotency key.
func (e *exchange) settle(a *attempt, kept []byte, err error) {
	if e.call.Key == 0 {
		return
	}
	if err != nil || (kept == nil && a.res.ContentLength != 0) {
		e.front.Settle(e.call.Service, e.call.Key, e.attemptID(), state.Unknown, answer.Answer{})
		return
	}
	ans := answer.Answer{Status: a.res.StatusCode, Type: a.res.Header.Get("Content-Type"), Body: kept}
	e.front.Settle(e.call.Service, e.call.Key, e.attemptID(), state.Answered, ans)
}

// replay gives a remembered answer.
func (e *exchange) replay(s step.Step) {
	h := e.w.Header()
	if e.remember.Type != "" {
		h.Set("Content-Type", e.remember.Type)
	}
	h.Set(wire.Fate, fate.Answered.String())
	h.Set(wire.Reason, s.Reason.String())
	e.w.WriteHeader(e.remember.Status)
	_, _ = e.w.Write(e.remember.Body)
	e.front.count(e.call, fate.Answered, s.Reason)
}

// refuse ends the call without an answer.
func (e *exchange) refuse(s step.Step) {
	e.finish(-1)
	if e.call.Key != 0 && s.Reason != reason.ClaimFailed && s.Reason != reason.Duplicate && s.Reason != reason.Poisoned {
		st := state.Unknown
		if s.Outcome == fate.NotRun {
			st = state.NotRun
		}
		e.front.Settle(e.call.Service, e.call.Key, e.attemptID(), st, answer.Answer{})
	}
	e.front.count(e.call, s.Outcome, s.Reason)
	if e.stream != nil && e.stream.failure() != nil {
		e.badBody(e.stream.failure())
		return
	}
	h := e.w.Header()
	after := time.Duration(0)
	if s.Outcome == fate.NotRun {
		after = e.comeBack(s.Choice.PredictedWait)
	}
	e.front.Dialect.Refuse(h, &s, after)
	http.Error(e.w, "refused: "+s.Reason.String()+"; fate: "+s.Outcome.String(), status(s))
}

// comeBack is the time after which a caller may find room, given the predicted wait.
func (e *exchange) comeBack(wait time.Duration) time.Duration {
	return max(tune.MinRetryAfter, wait)
}

// status is the HTTP status of a refusal.
func status(s step.Step) int {
	switch {
	case s.Reason == reason.Duplicate:
		return http.StatusConflict
	case s.Reason == reason.UnknownService:
		return http.StatusNotFound
	case s.Outcome == fate.NotRun || s.Reason == reason.ClaimFailed:
		return http.StatusServiceUnavailable
	case s.Reason == reason.Deadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
