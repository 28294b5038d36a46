package sender

import (
	"net/http"
	"strings"

	"github.com/balsamvale/balsamvale/internal/intact"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
)

// noAnswer returns why a response is no answer to any request, or cause.None if it may be one. The upstream may have run the call.
func noAnswer(res *http.Response) cause.Cause {
	switch {
	case mergedStatusLines(res):
		return cause.AttemptMismatch
	case intact.Check(res) != nil:
		return cause.Invalid
	}
	return cause.None
}

// mergedStatusLines reports whether a part of a status line came before the one of the response, so that the status may be
// that of another response.
func mergedStatusLines(res *http.Response) bool { return strings.Contains(res.Status, "HTTP/") }
