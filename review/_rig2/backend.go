package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which a backend writes its entry, as heartbeat_interval_ms of the settings says.
const heartbeat = 1500 * time.Millisecond

// backend is a stand-in for a backend.
type backend struct {
	id, service, zone, version string
	addr                       string
	work                       time.Duration
	born                       int64
	st                         *store
	server                     *http.Server
	// leaving makes all answers say so.
	leaving atomic.Bool
	// silent ends the heartbeats.
	silent atomic.Bool
	// answer, if set, replaces the answer to a request that is run.
	answer func(b *backend, w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	state    string
	sequence int64
	running  int
	runs     []run
}

// run is a request that a backend has begun to work on.
type run struct {
	id, path string
	at       time.Time
	backend  string
	entry    string
}

// backends are all that were started.
var backends []*backend

func newBackend(st *store, id, service, zone string, work time.Duration) *backend {
	b := &backend{id: id, service: service, zone: zone, version: "v1", work: work, st: st, state: "ready", born: time.Now().UnixMilli()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable(err)
	}
	b.addr = ln.Addr().String()
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(ln) }()
	backends = append(backends, b)
	b.announce()
	go func() {
		for range time.Tick(heartbeat) {
			if !b.silent.Load() {
				b.announce()
			}
		}
	}()
	return b
}

// announce writes the entry of the backend.
func (b *backend) announce() {
	b.mu.Lock()
	b.sequence++
	entry := map[string]any{"service": b.service, "address": b.addr, "zone": b.zone, "version": b.version, "capacity": 4, "state": b.state,
		"warmup_remaining_ms": 0, "sequence": b.sequence, "born": b.born}
	b.mu.Unlock()
	b.st.put("servers/"+b.id, entry)
}

// drain reports that the backend is draining.
func (b *backend) drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.announce()
}

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,0,4", b.running)
}

// ServeHTTP serves a request or a liveness check.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Balsamvale-Instance-Id", b.id)
		w.Header().Set("Balsamvale-Server-Load", b.load())
		if b.leaving.Load() {
			w.WriteHeader(503)
		}
		return
	}
	id := r.Header.Get("Balsamvale-Request-Id")
	w.Header().Set("Balsamvale-Request-Id", id)
	if want := r.Header.Get("Balsamvale-Expected-Instance"); want != "" && want != b.id {
		w.Header().Set("Balsamvale-Instance-Id", b.id)
		w.WriteHeader(421)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		record("backend %s: request %s broke off after %d bytes of its body and is not run", b.id, id, len(body))
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	b.running++
	entry := r.Header.Get("X-Entry")
	b.runs = append(b.runs, run{id, r.URL.Path, time.Now(), b.id, entry})
	b.mu.Unlock()
	record("backend %s: runs %s", b.id, id)
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	if b.answer != nil {
		b.answer(b, w, r, body)
		return
	}
	time.Sleep(b.work)
	b.finish(w, "answer of "+b.id+" to "+id+"\n")
}

// finish writes a success.
func (b *backend) finish(w http.ResponseWriter, text string) {
	w.Header().Set("Balsamvale-Server-Load", b.load())
	w.Header().Set("Balsamvale-Response-Signature", "sig."+b.id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.Copy(w, strings.NewReader(text))
}

// taken returns the requests that the backend has begun to work on.
func (b *backend) taken() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}
