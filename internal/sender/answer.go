package sender

import (
	"net/http"
	"strings"

	"github.com/balsamvale/balsamvale/pkg/calls/cause"
)

// Statuses that the final response to a call may have, as RFC 9110 (15) defines them.
const (
	minStatus = 200
	maxStatus = 599
)

// noAnswer returns why a response is no answer to any call, or cause.None if it may be one. The upstream may have run the call.
func noAnswer(res *http.Response) cause.Cause {
	switch {
	case mergedStatusLines(res):
		return cause.AttemptMismatch
	case res.StatusCode < minStatus || res.StatusCode > maxStatus:
		// net/http reads any three digits as a status, and panics when a server passes on one below 100.
		return cause.Invalid
	}
	return cause.None
}

// mergedStatusLines reports whether a part of a status line came before the one of the response, so that the status may be
// that of another response.
func mergedStatusLines(res *http.Response) bool { return strings.Contains(res.Status, "HTTP/") }
