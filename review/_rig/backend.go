package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// runRecord is one run of a request at a backend.
type runRecord struct {
	requestID string
	method    string
	uri       string
	bodyHash  string
	bodyLen   int64
	at        time.Time
}

// backend is a stand-in for a backend of one service. It serves as the platform's pages say.
type backend struct {
	rig      *rig
	id       string
	service  string
	zone     string
	born     int64
	slots    int
	work     time.Duration
	server   *http.Server
	listener net.Listener
	// loseAnswer, if set, decides after a run whether the answer is lost: the connection then closes without one.
	loseAnswer func() bool

	running atomic.Int64
	mu      sync.Mutex
	runs    []runRecord
	conns   map[net.Conn]struct{}
}

// startBackend starts a backend and registers it in the store.
func (r *rig) startBackend(id, service string, slots int, work time.Duration) *backend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	b := &backend{rig: r, id: id, service: service, zone: "zone-a", born: time.Now().UnixMilli(), slots: slots, work: work, listener: ln, conns: map[net.Conn]struct{}{}}
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second, ConnState: b.trackConn}
	go func() { _ = b.server.Serve(ln) }()
	b.register("ready")
	return b
}

func (b *backend) trackConn(c net.Conn, st http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch st {
	case http.StateNew:
		b.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, c)
	}
}

func (b *backend) register(state string) {
	b.rig.store.put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "capacity": b.slots,
		"state": state, "warmup_remaining_ms": 0, "sequence": 1, "born": b.born,
	})
}

// crash ends the backend at once: its port refuses connections and its open connections break off.
func (b *backend) crash() {
	_ = b.server.Close()
}

// restart starts the backend again at its address, under the same ID, as a new lifetime.
func (b *backend) restart() {
	ln, err := net.Listen("tcp", b.listener.Addr().String())
	if err != nil {
		b.rig.logf("%s does not come back: %v", b.id, err)
		return
	}
	b.listener, b.born = ln, time.Now().UnixMilli()
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second, ConnState: b.trackConn}
	go func() { _ = b.server.Serve(ln) }()
	b.register("ready")
}

func (b *backend) load() string {
	n := b.running.Load()
	return fmt.Sprintf("%d,%d,%d,100", min(n, int64(b.slots)), max(0, n-int64(b.slots)), b.slots)
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Balsamvale-Instance-Id", b.id)
		h.Set("Balsamvale-Server-Load", b.load())
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Balsamvale-Request-Id")
	h.Set("Balsamvale-Request-Id", id)
	if want := r.Header.Get("Balsamvale-Expected-Instance"); want != "" && want != b.id {
		h.Set("Balsamvale-Not-Executed", "1")
		h.Set("Balsamvale-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		// The request did not arrive whole, so it does not run.
		panic(http.ErrAbortHandler)
	}
	if b.running.Add(1) > int64(b.slots)+8 {
		b.running.Add(-1)
		h.Set("Balsamvale-Not-Executed", "1")
		h.Set("Balsamvale-Server-Load", b.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	rec := runRecord{requestID: id, method: r.Method, uri: r.RequestURI, bodyHash: hex.EncodeToString(sum.Sum(nil)), bodyLen: n, at: time.Now()}
	b.mu.Lock()
	b.runs = append(b.runs, rec)
	b.mu.Unlock()
	b.rig.logf("run %s at %s: %s %s, %d body bytes", id, b.id, r.Method, r.RequestURI, n)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		b.rig.logf("run %s at %s: its caller has left", id, b.id)
		return
	}
	if b.loseAnswer != nil && b.loseAnswer() {
		b.rig.logf("run %s at %s: done, its answer is lost", id, b.id)
		panic(http.ErrAbortHandler)
	}
	body := []byte("done " + id + " by " + b.id + "\n")
	h.Set("Balsamvale-Response-Signature", signature(id, body))
	h.Set("Balsamvale-Server-Load", b.load())
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
}

func signature(id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(id+" "), body...))
	return hex.EncodeToString(sum[:8])
}

// runsOf returns the runs at the backends, by request ID.
func runsOf(backends []*backend) map[string][]string {
	out := map[string][]string{}
	for _, b := range backends {
		b.mu.Lock()
		for _, r := range b.runs {
			out[r.requestID] = append(out[r.requestID], b.id)
		}
		b.mu.Unlock()
	}
	return out
}
