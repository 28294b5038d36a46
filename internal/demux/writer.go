package demux

import (
	"context"
	"net/http"
)

// writer adds "Connection: close" to the last response on a connection. Which response is the last is known only when its header
// is written.
type writer struct {
	http.ResponseWriter
	ctx         context.Context
	wroteHeader bool
}

// WriteHeader writes the header; it adds "Connection: close" if this is the last response.
func (w *writer) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHeader {
		w.wroteHeader = true
		if vc, ok := w.ctx.Value(virtualConnKey{}).(*virtualConn); ok && vc.isLast() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after a header with status 200 if none was written.
func (w *writer) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the writer of the server.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
