package header

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
)

// Codec reads and writes the headers of calls, attempts, responses and refusals. Its function fields let a platform use
// headers of its own.
type Codec struct {
	// RemainingTime returns how long the caller will wait; 0 if the headers do not say.
	RemainingTime func(h http.Header) time.Duration
	// RequestID returns the ID that the caller gave the call, or "" if there is none.
	RequestID func(h http.Header) string
	// IdempotencyKey returns the key under which the call runs at most once, or "" if there is none.
	IdempotencyKey func(h http.Header) string
	// Caller returns the address of the caller.
	Caller func(r *http.Request) string
	// Account returns what identifies the client account of the caller. Calls of different accounts with the same idempotency key
	// have nothing to do with each other.
	Account func(r *http.Request) string
	// AccountKey returns the key of a client account that a call carries, or "" if it has none or more than one.
	AccountKey func(h http.Header) string
	// Depth returns the number of services above the call in its chain of calls.
	Depth func(h http.Header) int
	// AttemptNumber returns the attempt number that the calling service gave the call; 0 for a first attempt.
	AttemptNumber func(h http.Header) int
	// StripRequest removes hop-by-hop headers, the key of a client account, and headers that callers may not set.
	StripRequest func(h http.Header)
	// PrepareAttempt sets the headers of an attempt and returns the ID that the upstream may echo. The entryID is
	// unique to this incarnation of the entry; timeLeft is 0 if the attempt has no time limit.
	PrepareAttempt func(h http.Header, c *call.Call, s *step.Step, entryID string, timeLeft time.Duration) string
	// ClassifyResponse derives the result of an attempt from the head of its response; id is what PrepareAttempt returned.
	ClassifyResponse func(res *http.Response, id string) result.Result
	// ClassifyProbe derives the result of a probe from its response; name is the upstream that was probed.
	ClassifyProbe func(res *http.Response, name string) result.Result
	// PrepareResponse strips and sets the headers of a response that is passed on to the caller.
	PrepareResponse func(h http.Header)
	// PrepareRefusal sets the headers of a refusal; retryAfter is the time after which the caller may retry, or 0.
	PrepareRefusal func(h http.Header, s *step.Step, retryAfter time.Duration)
	// SetOutcome sets the outcome of a call, and the reason for it unless it is reason.None.
	SetOutcome func(h http.Header, o outcom.Outcome, why reason.Reason)
}

// Default returns the Codec for the Balsamvale headers of package wire.
func Default() *Codec {
	return &Codec{
		RemainingTime: remainingTime, RequestID: idempotencyKey, IdempotencyKey: idempotencyKey, Caller: caller, Account: account, AccountKey: accountKey, Depth: depth, AttemptNumber: attemptNumber,
		StripRequest: wire.Strip, PrepareAttempt: prepareAttempt, ClassifyResponse: classifyResponse, ClassifyProbe: classifyProbe,
		PrepareResponse: prepareResponse, PrepareRefusal: prepareRefusal, SetOutcome: setOutcome,
	}
}

func remainingTime(h http.Header) time.Duration {
	d, err := time.ParseDuration(h.Get(wire.Deadline))
	if err != nil {
		return 0
	}
	return max(0, d)
}

func idempotencyKey(h http.Header) string { return h.Get(wire.IdempotencyKey) }

func depth(h http.Header) int { return wire.ParseCount(h.Get(wire.Depth)) }

func attemptNumber(h http.Header) int { return wire.ParseCount(h.Get(wire.AttemptNumber)) }

// caller returns the first address in X-Forwarded-For, which is the client that a balancer in front of the entry saw, or else
// the remote address of the connection.
func caller(r *http.Request) string {
	if first, _, _ := strings.Cut(r.Header.Get("X-Forwarded-For"), ","); first != "" {
		return strings.TrimSpace(first)
	}
	return RemoteAddr(r)
}

// account returns the credentials of the request, or the address of the caller if it has none.
func account(r *http.Request) string {
	if credentials := r.Header.Get("Authorization"); credentials != "" {
		return "credentials " + credentials
	}
	return "address " + caller(r)
}

func accountKey(h http.Header) string { return Only(h, wire.AccountKey) }

// Only returns the value of a header that must be there once, or "" if it is not.
func Only(h http.Header, name string) string {
	if values := h.Values(name); len(values) == 1 {
		return values[0]
	}
	return ""
}

// RemoteAddr returns the remote address of the connection of a request, without its port.
func RemoteAddr(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func prepareAttempt(h http.Header, c *call.Call, s *step.Step, entryID string, timeLeft time.Duration) string {
	if timeLeft > 0 {
		h.Set(wire.Deadline, timeLeft.Round(time.Microsecond).String())
	}
	if c.Account != "" {
		h.Set(wire.Account, c.Account)
	}
	h.Set(wire.Depth, strconv.Itoa(c.Depth+1))
	h.Set(wire.AttemptNumber, strconv.Itoa(c.Attempt+s.Attempt))
	id := fmt.Sprintf("%s.%d.%d", entryID, c.ID, s.Attempt)
	h.Set(wire.AttemptID, id)
	return id
}

func classifyResponse(res *http.Response, id string) result.Result {
	out := result.Result{Status: res.StatusCode, Report: wire.ParseReport(res.Header.Get(wire.Load))}
	out.NoRetry = res.Header.Get(wire.Retry) == wire.RetryNo
	echo := res.Header.Get(wire.AttemptID)
	switch {
	case echo != "" && echo != id:
		out.Cause = cause.AttemptMismatch
	case res.StatusCode >= 500 && res.Header.Get(wire.Executed) == wire.ExecutedNone:
		out.Cause = cause.Shed
	case res.StatusCode >= 500:
		out.Cause = cause.Error
	}
	return out
}

func classifyProbe(res *http.Response, _ string) result.Result {
	return result.Result{Status: res.StatusCode, Report: wire.ParseReport(res.Header.Get(wire.Load))}
}

func prepareResponse(h http.Header) {
	wire.Strip(h)
	setOutcome(h, outcom.Answered, reason.None)
}

func setOutcome(h http.Header, o outcom.Outcome, why reason.Reason) {
	h.Set(wire.Outcome, o.String())
	if why != reason.None {
		h.Set(wire.Reason, why.String())
	}
}

func prepareRefusal(h http.Header, s *step.Step, retryAfter time.Duration) {
	h.Set(wire.Outcome, s.Outcome.String())
	h.Set(wire.Reason, s.Reason.String())
	h.Set(wire.Retry, wire.RetryNo)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
}
