package wire

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/report"
)

// Header names.
const (
	// Prefix is the common prefix of all Balsamvale headers.
	Prefix = "Balsamvale-"
	// Outcome is set on responses to callers and holds the outcome of the call, as printed by outcom.Outcome.
	Outcome = Prefix + "Fate"
	// Reason holds the reason of a refusal or of a replayed response, as printed by reason.Reason.
	Reason = Prefix + "Reason"
	// Deadline holds the time left until the deadline of the call, in the format of time.ParseDuration.
	Deadline = Prefix + "Deadline"
	// Depth holds the number of services above a call in its chain of calls.
	Depth = Prefix + "Depth"
	// AttemptID identifies an attempt; an upstream may echo it in its response.
	AttemptID = Prefix + "Attempt"
	// AttemptNumber holds the number of the attempt, counted on from the number in the caller's request.
	AttemptNumber = Prefix + "Try"
	// Retry is set to RetryNo on a response that the receiver should not retry.
	Retry = Prefix + "Retry"
	// Load holds the load report of an upstream, in the format of FormatReport.
	Load = Prefix + "Load"
	// Executed is set to ExecutedNone on the response of an upstream that did not run the call.
	Executed = Prefix + "Run"
	// AccountKey holds the key of a client account, and nothing else.
	AccountKey = Prefix + "Key"
	// Account holds the name of the client account of a call, for its upstream.
	Account = Prefix + "Account"
	// IdempotencyKey holds the idempotency key that the caller chose.
	IdempotencyKey = "Idempotency-Key"
)

// ExecutedNone is the value of the Executed header when the call did not run.
const ExecutedNone = "none"

// RetryNo is the value of the Retry header when a retry is useless.
const RetryNo = "no"

// hopByHop lists the hop-by-hop headers of RFC 9110, which belong to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip removes the hop-by-hop headers and all headers that start with Prefix.
func Strip(h http.Header) {
	StripHopByHop(h)
	for name := range h {
		if strings.HasPrefix(name, Prefix) {
			delete(h, name)
		}
	}
}

// StripHopByHop removes the hop-by-hop headers, including those named in the Connection header.
func StripHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// FormatReport returns the value of a Load header, encoded as a URL query.
func FormatReport(r report.Report) string {
	v := url.Values{}
	v.Set("busy", strconv.Itoa(r.InFlight))
	v.Set("slots", strconv.Itoa(r.Slots))
	v.Set("boot", strconv.FormatUint(r.Incarnation, 10))
	v.Set("age", r.Uptime.String())
	if r.Cold {
		v.Set("cold", "1")
	}
	if r.Draining {
		v.Set("leave", "1")
	}
	return v.Encode()
}

// maxReported is the highest number of calls or slots in a load report.
const maxReported = 1_000_000

// ParseReport parses the value of a Load header. It returns nil if the value is not a URL query or has no number of calls in flight
// from 0 to maxReported; other invalid fields are ignored.
func ParseReport(s string) *report.Report {
	if s == "" {
		return nil
	}
	v, err := url.ParseQuery(s)
	if err != nil {
		return nil
	}
	inFlight, err := strconv.Atoi(v.Get("busy"))
	if err != nil || inFlight < 0 || inFlight > maxReported {
		return nil
	}
	r := &report.Report{InFlight: inFlight, Cold: v.Get("cold") == "1", Draining: v.Get("leave") == "1"}
	if n, err := strconv.Atoi(v.Get("slots")); err == nil && n > 0 && n <= maxReported {
		r.Slots = n
	}
	uptime, err := time.ParseDuration(v.Get("age"))
	if incarnation, parseErr := strconv.ParseUint(v.Get("boot"), 10, 64); parseErr == nil && err == nil && uptime >= 0 {
		r.Incarnation, r.Uptime = incarnation, uptime
	}
	return r
}

// ParseCount parses a header value that holds a count from 0 to maxCount. It returns 0 for any other value.
func ParseCount(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 || n > maxCount {
		return 0
	}
	return n
}

// maxCount is the largest value that ParseCount accepts.
const maxCount = 1000
