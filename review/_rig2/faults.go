package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

// failSome returns an answer that fails two of five requests with a status, after the work.
func failSome(status int) func(*backend, http.ResponseWriter, *http.Request, []byte) {
	var n atomic.Int64
	return func(b *backend, w http.ResponseWriter, r *http.Request, _ []byte) {
		time.Sleep(b.work)
		if n.Add(1)%5 < 2 {
			w.Header().Set("Balsamvale-Server-Load", b.load())
			w.Header().Set("Balsamvale-Response-Signature", "sig."+b.id)
			w.WriteHeader(status)
			return
		}
		b.finish(w, "answer of "+b.id+"\n")
	}
}
