package reqlog

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// Handler writes a line for each request and passes it on to another handler.
type Handler struct {
	next  http.Handler
	clock clock.Clock
	log   io.Writer
}

// New returns a Handler that passes requests on to next. It writes to log from several goroutines at once.
func New(next http.Handler, c clock.Clock, log io.Writer) *Handler {
	return &Handler{next: next, clock: c, log: log}
}

// ServeHTTP writes the line before the request is served.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The host is the address that the caller used, which tells the requests of another test.
	_, _ = fmt.Fprintf(h.log, "upstream %v, %s: %s %s from %s, host %s, %v\n",
		r.Context().Value(http.LocalAddrContextKey), h.clock.Now().Format(time.RFC3339Nano), r.Method, r.RequestURI, r.RemoteAddr, r.Host, r.Header)
	h.next.ServeHTTP(w, r)
}
