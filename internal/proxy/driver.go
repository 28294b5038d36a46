package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamvale/balsamvale/internal/memory"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/shared/basis"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/flow"
)

// callDriver drives the flow of one call; the handler's goroutine owns it.
type callDriver struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	match   routeMatch
	// basis is the configuration that the call was matched with.
	basis basis.Basis
	call  *call.Call
	flow  *flow.Flow

	body []byte
	// buffered is set if body holds the whole request body.
	buffered bool
	// chunked is set for a buffered body whose length the caller did not declare.
	chunked bool
	// stream is the request body if it is not buffered.
	stream *stream
	// memory holds what the call keeps of bodies.
	memory *memory.Budget
	// attempts is indexed by attempt ID.
	attempts []*attempt
	// responded receives attempts that got the head of a response or failed.
	responded chan *attempt
	// informational receives the informational responses of attempts, which only the goroutine of the driver may write.
	informational chan informational
	// dequeued receives the choice for a call that waits in the pool, for admission or for an upstream.
	dequeued chan choice.Choice
	// stopping is closed when the entry stops; nil after the call has been told.
	stopping <-chan struct{}
	// claimed is set once the call holds claim, which is that of its idempotency key.
	claimed bool
	claim   claim.Claim
	// held is the claim of an earlier call with the same idempotency key.
	held claim.Claim
	// waited is set once the call has waited in the pool.
	waited bool
	// writeFailed is set once the caller can no longer be written to.
	writeFailed bool
}

// informational is a 1xx response to an attempt.
type informational struct {
	status int
	header http.Header
}

// attempt is one request to an upstream; its run method is a goroutine.
type attempt struct {
	id int
	// requestID is the ID that the caller gave the call.
	requestID string
	req       *outreq.Request
	ctx       context.Context
	cancel    context.CancelFunc
	handler   *Handler
	memory    *memory.Budget
	// account is that of the call, if the attempt is counted.
	account   string
	responded chan<- *attempt
	// res is the response; nil if the attempt failed.
	res *http.Response
	// body is the body of the response if it is buffered; res.Body is then empty.
	body   []byte
	result result.Result
}

// run sends the attempt and passes it on to responded. Unless the upstream shed the call, it first buffers a small response.
//
// After a panic, the attempt has failed and the upstream may have run the call.
func (a *attempt) run() {
	defer func() {
		if v := recover(); v != nil {
			a.handler.Log.Panic("attempt", a.requestID, v)
			a.res, a.result = nil, result.Result{Cause: cause.ConnBroken}
			a.responded <- a
		}
	}()
	a.res, a.result = a.handler.Send(a.ctx, a.req)
	a.uncount()
	if a.res != nil && a.result.Cause != cause.Shed {
		a.bufferResponse()
	}
	a.responded <- a
}

// serve carries out the steps of the flow until the call has an outcome.
func (d *callDriver) serve() {
	defer d.stopBody()
	defer d.releaseOnPanic()
	d.responded = make(chan *attempt, tune.MaxAttempts)
	d.informational = make(chan informational)
	d.stopping = d.handler.Stopping
	d.dequeued = make(chan choice.Choice, 1)
	d.flow.Wake = func(ch choice.Choice) { d.dequeued <- ch }
	s := d.flow.Start(d.now())
	for {
		switch s.Stage {
		case stage.Claim:
			s = d.claimKey()
			continue
		case stage.Probe:
			s = d.probeCandidates(s)
			continue
		case stage.Send:
			if why := d.handler.recheck(&d.match.identity); why != reason.None {
				s = d.flow.Withhold(d.now(), s.Attempt, why)
				continue
			}
			d.handler.Log.RouteDecision(d.call, &s)
			d.startAttempt(s)
		case stage.Deliver:
			d.deliver(s)
			return
		case stage.Replay:
			d.replay(s)
			return
		case stage.Refuse:
			d.refuse(s)
			return
		case stage.Wait:
			d.waited = d.waited || s.Choice.Stage == stage.Wait
		}
		s = d.awaitEvent(s.TimerAt)
	}
}

// releaseOnPanic gives up what the call holds if it panics, other than to abort the connection of the caller.
func (d *callDriver) releaseOnPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		d.cancelOthers(-1)
	}
	panic(v)
}

func (d *callDriver) now() time.Time { return d.handler.Clock.Now() }

// awaitEvent waits for the next event of the call and returns the step that follows it. Without another event, the timer
// fires at timerAt; the zero time means never.
func (d *callDriver) awaitEvent(timerAt time.Time) step.Step {
	var fired <-chan time.Time
	if !timerAt.IsZero() {
		t, stop := d.handler.Clock.Timer(timerAt.Sub(d.now()))
		defer stop()
		fired = t
	}
	for {
		select {
		case i := <-d.informational:
			d.forwardInformational(i)
			continue
		case a := <-d.responded:
			return d.attemptEnded(a)
		case ch := <-d.dequeued:
			return d.flow.Woken(d.now(), ch)
		case <-fired:
			return d.flow.TimerFired(d.now())
		case <-d.stopping:
			d.stopping = nil
			return d.flow.Stop(d.now())
		case <-d.r.Context().Done():
			return d.flow.Cancel(d.now())
		}
	}
}

// attemptEnded returns the step that follows the end of an attempt.
func (d *callDriver) attemptEnded(a *attempt) step.Step {
	d.handler.Log.AttemptEnd(d.call, a.id, &a.result, d.now().Sub(d.call.Arrived))
	s := d.flow.AttemptResult(d.now(), a.id, a.result)
	if s.Stage != stage.Deliver {
		a.discard()
	}
	return s
}

// callID returns the ID of the call, which is unique among the calls of this handler.
func (d *callDriver) callID() uint64 { return d.call.ID }

// startAttempt starts an attempt, which must end by the deadline of the call and by the time limit that its credit sets.
func (d *callDriver) startAttempt(s step.Step) {
	ctx, cancel := context.WithCancel(d.r.Context())
	limit := earlier(d.call.Deadline, s.Choice.CreditUntil)
	if !limit.IsZero() {
		ctx, cancel = context.WithDeadline(d.r.Context(), limit)
	}
	a := &attempt{id: s.Attempt, requestID: d.call.RequestID, ctx: ctx, cancel: cancel, handler: d.handler, memory: d.memory, responded: d.responded}
	a.req = d.newRequest(s, limit)
	a.req.OnInformational = func(status int, h http.Header) {
		select {
		case d.informational <- informational{status, h}:
		case <-ctx.Done():
		}
	}
	a.count(d.call.Account)
	d.attempts = append(d.attempts, a)
	d.handler.InFlight.MarkSent(d.call)
	go a.run()
}

// earlier returns the earlier of two times; the zero time means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// newRequest builds the outgoing request of an attempt that must end by limit; the zero time means no limit.
func (d *callDriver) newRequest(s step.Step, limit time.Time) *outreq.Request {
	h := d.r.Header.Clone()
	d.handler.Headers.StripRequest(h)
	now := d.now()
	timeLeft := time.Duration(0)
	if !limit.IsZero() {
		timeLeft = limit.Sub(now)
	}
	id := d.handler.Headers.PrepareAttempt(h, d.call, &s, d.handler.Name+"."+strconv.FormatUint(d.handler.Incarnation, 10), timeLeft)
	req := &outreq.Request{
		Method: d.r.Method, RequestURI: d.match.requestURI, Host: d.r.Host, Header: h,
		ID:         id,
		Idempotent: d.call.Idempotent, Addr: s.Choice.Target.Addr, SentAt: now,
	}
	if d.buffered {
		req.Body, req.Buffered, req.Chunked = d.body, true, d.chunked
	} else {
		d.stripTrailer()
		req.Stream, req.StreamLength, req.Trailer = d.stream, d.r.ContentLength, d.r.Trailer
		req.BodyFailed = func() bool { return d.stream.readErr() != nil }
	}
	return req
}

// forwardInformational passes a 1xx response on to the caller.
func (d *callDriver) forwardInformational(i informational) {
	for k, v := range i.header {
		d.w.Header()[k] = v
	}
	d.w.WriteHeader(i.status)
	for k := range i.header {
		d.w.Header().Del(k)
	}
}

// discard cancels the attempt and closes its response, if there is one.
func (a *attempt) discard() {
	a.cancel()
	if a.res != nil {
		_ = a.res.Body.Close()
	}
}

// cancelOthers cancels all attempts but the winner (-1 for none). If the pool still holds the call or its wake is under way,
// it waits for the choice of the pool and releases it.
func (d *callDriver) cancelOthers(winner int) {
	now := d.now()
	d.flow.CloseOthers(now, winner)
	running := 0
	for _, a := range d.attempts {
		if a.id != winner {
			a.cancel()
			running++
		}
	}
	if d.flow.Waiting() {
		d.flow.ReleaseLate(now, <-d.dequeued)
	}
}

// refuse cancels all attempts and answers the call with a refusal.
func (d *callDriver) refuse(s step.Step) {
	d.cancelOthers(-1)
	d.answerRefusal(s)
}

// answerRefusal answers the call with a refusal. It completes the claim of the idempotency key, if the call holds one.
func (d *callDriver) answerRefusal(s step.Step) {
	if d.claimed {
		st := state.Unknown
		if s.Outcome == outcom.NotRun {
			st = state.NotRun
		}
		d.endClaim(st, answer.Answer{})
	}
	status := refusalStatus(s)
	badBody := d.stream != nil && d.stream.readErr() != nil
	if badBody {
		status, s.Reason = d.badBodyStatus(d.stream.readErr())
	}
	d.handler.countCall(d.call, s.Outcome, s.Reason, d.waited)
	d.handler.countOwn(status, s.Reason)
	d.handler.Log.Refusal(d.call, &s, status, d.basis)
	if badBody {
		d.answerBadBody(status)
		return
	}
	h := d.w.Header()
	retryAfter := time.Duration(0)
	text := "refused: " + s.Reason.String() + "; fate: " + s.Outcome.String()
	switch {
	case s.Reason == reason.KeyReused:
		text += "; the idempotency key was used for a request with " + d.held.Binding.Differences(d.claim.Binding) + "; choose another key"
	case s.Reason == reason.UnknownKey && status == http.StatusUnauthorized:
		h.Set("WWW-Authenticate", challenge)
	case s.Outcome == outcom.NotRun:
		retryAfter = s.Choice.RetryDelay()
	}
	d.handler.Headers.PrepareRefusal(h, &s, retryAfter)
	d.closeUnlessBodyRead()
	http.Error(d.w, text, status)
}

// refusalStatus returns the HTTP status of a refusal.
func refusalStatus(s step.Step) int {
	switch {
	case s.Reason == reason.Duplicate:
		return http.StatusConflict
	case s.Reason == reason.KeyReused:
		return http.StatusUnprocessableEntity
	case s.Outcome == outcom.NotRun && s.Reason == reason.UnknownKey:
		return http.StatusUnauthorized
	case s.Outcome == outcom.NotRun || s.Reason == reason.ClaimFailed:
		return http.StatusServiceUnavailable
	case s.Reason == reason.Deadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
