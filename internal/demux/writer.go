package demux

import (
	"context"
	"net/http"
)

// writer closes a draining connection with the last answer on it, which is known only when its head is written.
type writer struct {
	http.ResponseWriter
	listener *Listener
	ctx      context.Context
	begun    bool
}

// WriteHeader adds what ends the connection, where this is the end.
func (w *writer) WriteHeader(status int) {
	if status >= http.StatusOK && !w.begun {
		w.begun = true
		if ln, ok := w.ctx.Value(virtualConnKey{}).(*virtualConn); ok && w.listener.draining.Load() && ln.stopIfLast() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write begins the answer if nothing was written before.
func (w *writer) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the server's own writer.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
