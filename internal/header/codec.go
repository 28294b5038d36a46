package header

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
)

// Codec reads and writes the headers of calls, attempts, answers and refusals.
type Codec struct {
	// RemainingTime reads how long the caller will wait; 0 when it does not say.
	RemainingTime func(h http.Header) time.Duration
	// RequestID reads the identity that the caller gave the call; empty without one.
	RequestID func(h http.Header) string
	// StripRequest removes what belongs to one connection, and what callers may not set.
	StripRequest func(h http.Header)
	// PrepareAttempt completes the headers of an attempt; left is 0 without a limit. It returns the identity that the
	// upstream may echo.
	PrepareAttempt func(h http.Header, c *call.Call, s *step.Step, own string, left time.Duration) string
	// ClassifyResponse reads the head of the answer to an attempt that was sent with an identity.
	ClassifyResponse func(res *http.Response, id string) result.Result
	// ClassifyProbe reads the answer of an upstream that was asked for its load under the given name.
	ClassifyProbe func(res *http.Response, name string) result.Result
	// PrepareResponse strips and completes the headers of an answer that is passed on.
	PrepareResponse func(h http.Header)
	// PrepareRefusal completes the headers of a refusal; after is when the caller may come back, or 0.
	PrepareRefusal func(h http.Header, s *step.Step, after time.Duration)
}

// Default returns the project's own dialect.
func Default() *Codec {
	return &Codec{RemainingTime: remainingTime, RequestID: requestID, StripRequest: wire.Strip, PrepareAttempt: prepareAttempt, ClassifyResponse: classifyResponse, ClassifyProbe: classifyProbe, PrepareResponse: prepareResponse, PrepareRefusal: prepareRefusal}
}

func remainingTime(h http.Header) time.Duration {
	d, err := time.ParseDuration(h.Get(wire.Deadline))
	if err != nil {
		return 0
	}
	return max(0, d)
}

func requestID(h http.Header) string { return h.Get(wire.IdempotencyKey) }

func prepareAttempt(h http.Header, c *call.Call, s *step.Step, own string, left time.Duration) string {
	if left > 0 {
		h.Set(wire.Deadline, left.Round(time.Microsecond).String())
	}
	h.Set(wire.Depth, strconv.Itoa(c.Depth+1))
	h.Set(wire.AttemptNumber, strconv.Itoa(c.Attempt+s.Attempt))
	id := fmt.Sprintf("%s.%d.%d", own, c.ID, s.Attempt)
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
	h.Set(wire.Outcome, outcom.Answered.String())
}

func prepareRefusal(h http.Header, s *step.Step, after time.Duration) {
	h.Set(wire.Outcome, s.Outcome.String())
	h.Set(wire.Reason, s.Reason.String())
	h.Set(wire.Retry, wire.RetryNo)
	if after > 0 {
		h.Set("Retry-After", strconv.Itoa(int(max(1, after.Seconds()))))
	}
}
