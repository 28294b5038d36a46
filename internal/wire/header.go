package wire

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/report"
)

// Headers of the project.
const (
	// Prefix begins the name of each header of the project.
	Prefix = "Balsamvale-"
	// Outcome tells a caller what became of its call.
	Outcome = Prefix + "Fate"
	// Reason tells a caller why its call was refused.
	Reason = Prefix + "Reason"
	// Deadline carries the time left, as a duration.
	Deadline = Prefix + "Deadline"
	// Depth carries the number of services above a call.
	Depth = Prefix + "Depth"
	// AttemptID identifies an attempt; an upstream may echo it.
	AttemptID = Prefix + "Attempt"
	// AttemptNumber carries the number of the attempt.
	AttemptNumber = Prefix + "Try"
	// Retry is "no" on an answer that is not worth a retry.
	Retry = Prefix + "Retry"
	// Load carries an upstream's report.
	Load = Prefix + "Load"
	// Executed is "none" on an answer of an upstream that did not run the call.
	Executed = Prefix + "Run"
	// IdempotencyKey is the caller's idempotency key.
	IdempotencyKey = "Idempotency-Key"
)

// ExecutedNone is the value of Run that says that a call did not run.
const ExecutedNone = "none"

// RetryNo is the value of Retry that says that a retry is of no use.
const RetryNo = "no"

// hopByHop are the headers that belong to one connection, by RFC 9110.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip removes the headers that belong to one connection and those of the project.
func Strip(h http.Header) {
	StripHopByHop(h)
	for name := range h {
		if strings.HasPrefix(name, Prefix) {
			delete(h, name)
		}
	}
}

// StripHopByHop removes the headers that belong to one connection.
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

// FormatReport writes the value of a Load header.
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

// ParseReport reads the value of a Load header, or returns nil when it is not a report.
func ParseReport(s string) *report.Report {
	if s == "" {
		return nil
	}
	v, err := url.ParseQuery(s)
	if err != nil {
		return nil
	}
	busy, err := strconv.Atoi(v.Get("busy"))
	if err != nil || busy < 0 {
		return nil
	}
	r := &report.Report{InFlight: busy, Cold: v.Get("cold") == "1", Draining: v.Get("leave") == "1"}
	if n, err := strconv.Atoi(v.Get("slots")); err == nil && n > 0 {
		r.Slots = n
	}
	age, err := time.ParseDuration(v.Get("age"))
	if boot, perr := strconv.ParseUint(v.Get("boot"), 10, 64); perr == nil && err == nil && age >= 0 {
		r.Incarnation, r.Uptime = boot, age
	}
	return r
}

// ParseCount reads a small number from a header; anything else counts as 0.
func ParseCount(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 || n > maxCount {
		return 0
	}
	return n
}

const maxCount = 1000
