package dialct

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/fate"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
)

// Dialect reads and writes the headers of calls, attempts, answers and refusals.
type Dialect struct {
	// Left reads how long the caller will wait; 0 when it does not say.
	Left func(h http.Header) time.Duration
	// Mark reads the identity that the caller gave the call; empty without one.
	Mark func(h http.Header) string
	// Strip removes what belongs to one connection, and what callers may not set.
	Strip func(h http.Header)
	// Ask completes the headers of an attempt; left is 0 without a limit. It returns the identity that the
	// upstream may echo.
	Ask func(h http.Header, c *call.Call, s *step.Step, own string, left time.Duration) string
	// Judge reads the head of the answer to an attempt that was sent with an identity.
	Judge func(res *http.Response, id string) result.Result
	// Probe reads the answer of an upstream that was asked for its load under the given name.
	Probe func(res *http.Response, name string) result.Result
	// Answer strips and completes the headers of an answer that is passed on.
	Answer func(h http.Header)
	// Refuse completes the headers of a refusal; after is when the caller may come back, or 0.
	Refuse func(h http.Header, s *step.Step, after time.Duration)
}

// Own returns the project's own dialect.
func Own() *Dialect {
	return &Dialect{Left: left, Mark: mark, Strip: wire.Strip, Ask: ask, Judge: judge, Probe: probe, Answer: answer, Refuse: refuse}
}

func left(h http.Header) time.Duration {
	d, err := time.ParseDuration(h.Get(wire.Deadline))
	if err != nil {
		return 0
	}
	return max(0, d)
}

func mark(h http.Header) string { return h.Get(wire.Key) }

func ask(h http.Header, c *call.Call, s *step.Step, own string, left time.Duration) string {
	if left > 0 {
		h.Set(wire.Deadline, left.Round(time.Microsecond).String())
	}
	h.Set(wire.Depth, strconv.Itoa(c.Depth+1))
	h.Set(wire.Try, strconv.Itoa(c.Attempt+s.Attempt))
	id := fmt.Sprintf("%s.%d.%d", own, c.ID, s.Attempt)
	h.Set(wire.Attempt, id)
	return id
}

func judge(res *http.Response, id string) result.Result {
	out := result.Result{Status: res.StatusCode, Report: wire.ParseReport(res.Header.Get(wire.Load))}
	out.NoRetry = res.Header.Get(wire.Retry) == wire.RetryNo
	echo := res.Header.Get(wire.Attempt)
	switch {
	case echo != "" && echo != id:
		out.Cause = cause.AttemptMismatch
	case res.StatusCode >= 500 && res.Header.Get(wire.Run) == wire.RunNone:
		out.Cause = cause.Shed
	case res.StatusCode >= 500:
		out.Cause = cause.Error
	}
	return out
}

func probe(res *http.Response, _ string) result.Result {
	return result.Result{Status: res.StatusCode, Report: wire.ParseReport(res.Header.Get(wire.Load))}
}

func answer(h http.Header) {
	wire.Strip(h)
	h.Set(wire.Fate, fate.Answered.String())
}

func refuse(h http.Header, s *step.Step, after time.Duration) {
	h.Set(wire.Fate, s.Outcome.String())
	h.Set(wire.Reason, s.Reason.String())
	h.Set(wire.Retry, wire.RetryNo)
	if after > 0 {
		h.Set("Retry-After", strconv.Itoa(int(max(1, after.Seconds()))))
	}
}
