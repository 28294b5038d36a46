package main

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which a backend writes its entry; three of silence remove it.
const heartbeat = 1500 * time.Millisecond

// httpRequest is a request at a backend.
type httpRequest = http.Request

// answer is what a backend answers a request that it has run.
type answer struct {
	status int
	body   []byte
	// cut is the number of bytes of the body after which a faulty backend closes the connection; negative for a whole answer.
	cut int
}

// backend is one lifetime of a backend of the users.
type backend struct {
	rig     *rig
	id      string
	service string
	version string
	zone    string
	slots   int
	queue   int
	born    int64
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// noisy is set for a backend whose machine others slow down at times.
	noisy bool
	// answer returns the answer to a request that ran.
	answer func(r *http.Request) answer

	addr    string
	ln      net.Listener
	running atomic.Int64
	waiting atomic.Int64
	sem     chan struct{}
	runs    atomic.Int64
	seq     atomic.Int64

	mu       sync.Mutex
	conns    map[net.Conn]bool
	state    string
	lastBeat time.Time
	ended    bool
}

var lastBackend atomic.Int64

// newBackend starts a backend on a free loopback port and announces it.
func (g *rig) newBackend(service, version, zone string) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		rig: g, id: fmt.Sprintf("i-%04d%06x", lastBackend.Add(1), rand.IntN(1<<24)), service: service, version: version, zone: zone, slots: 4, queue: 8,
		born: time.Now().UnixMilli(), ln: ln, addr: ln.Addr().String(), sem: make(chan struct{}, 4), conns: map[net.Conn]bool{}, state: "ready",
	}
	b.work = func(*http.Request) time.Duration { return 60 * time.Millisecond }
	b.answer = func(*http.Request) answer { return answer{200, []byte("done by " + b.id), -1} }
	return b, nil
}

// start serves and announces the backend.
func (b *backend) start() {
	go b.accept(b.ln)
	b.beat()
	go b.beatLoop()
}

func (b *backend) beat() {
	b.mu.Lock()
	state, ended := b.state, b.ended
	if !ended {
		b.lastBeat = time.Now()
	}
	b.mu.Unlock()
	if ended {
		return
	}
	b.rig.store.put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.addr, "zone": b.zone, "version": b.version, "capacity": b.slots, "state": state,
		"warmup_remaining_ms": 0, "sequence": b.seq.Add(1), "born": b.born,
	})
}

// beatLoop writes the entry, and removes it after three intervals of silence.
func (b *backend) beatLoop() {
	for {
		time.Sleep(heartbeat)
		b.beat()
		b.mu.Lock()
		gone := time.Since(b.lastBeat) >= 3*heartbeat
		b.mu.Unlock()
		if gone {
			b.rig.store.remove("servers/" + b.id)
			return
		}
	}
}

func (b *backend) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.ended {
			b.mu.Unlock()
			_ = c.Close()
			return
		}
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

// drain reports that the backend leaves; it serves on until stop.
func (b *backend) drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.beat()
}

// stop ends the backend and removes its entry at once.
func (b *backend) stop() {
	b.crash()
	b.rig.store.remove("servers/" + b.id)
}

// crash ends the backend: its connections close, and its entry expires.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	_ = b.ln.Close()
	for c := range b.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (b *backend) load() string {
	return fmt.Sprintf("%d,%d,%d,%d", b.running.Load(), b.waiting.Load(), b.slots, 100*b.slowdown())
}

// Noise of the machines of backends: how long it stays the same, how often it is there, and by which factor work then takes longer.
const (
	noiseInterval = 300 * time.Millisecond
	noiseShare    = 0.35
	noiseFactor   = 4
)

// slowdown returns the factor by which work takes longer now.
func (b *backend) slowdown() int {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", b.id, time.Since(b.rig.start)/noiseInterval)
	if b.noisy && float64(h.Sum64()%1000)/1000 < noiseShare {
		return noiseFactor
	}
	return 1
}

// setSlots sets how many requests run at once; it is called before start.
func (b *backend) setSlots(slots int) {
	b.slots, b.queue, b.sem = slots, 2*slots, make(chan struct{}, slots)
}

// serve serves the requests of a connection, one at a time.
func (b *backend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if !b.serveOne(c, in, r) {
			return
		}
	}
}

// respond writes an answer that the backend did not run the request, or has.
func (b *backend) respond(c net.Conn, r *http.Request, status int, extra string, body []byte, cut int) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\nBalsamvale-Instance-Id: %s\r\nBalsamvale-Server-Load: %s\r\n", status, http.StatusText(status), len(body), b.id, b.load())
	if id := r.Header.Get("Balsamvale-Request-Id"); id != "" {
		head += "Balsamvale-Request-Id: " + id + "\r\n"
	}
	out := append([]byte(head+extra+"\r\n"), body...)
	if cut >= 0 {
		out = out[:len(out)-len(body)+cut]
	}
	_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	_, err := c.Write(out)
	return err == nil && cut < 0
}

func (b *backend) serveOne(c net.Conn, in *bufio.Reader, r *http.Request) bool {
	if r.URL.Path == "/health" {
		return b.respond(c, r, 200, "", nil, -1)
	}
	id := r.Header.Get("Balsamvale-Request-Id")
	h := fnv.New64a()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		b.rig.logf("backend %s (%s): request %s breaks off after %d bytes of its body", b.id, b.service, id, n)
		return false
	}
	if want := r.Header.Get("Balsamvale-Expected-Instance"); want != "" && want != b.id {
		return b.respond(c, r, 421, "", nil, -1)
	}
	arrived := time.Now()
	if b.waiting.Add(1) > int64(b.queue) {
		b.waiting.Add(-1)
		return b.respond(c, r, 503, "Balsamvale-Not-Executed: 1\r\n", nil, -1)
	}
	limit := time.Hour
	if ms, err := strconv.ParseFloat(r.Header.Get("Balsamvale-Remaining-Milliseconds"), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peeked := make(chan struct{})
	go func() {
		defer close(peeked)
		if _, err := in.Peek(1); err != nil {
			cancel()
		}
	}()
	stopPeek := func() {
		_ = c.SetReadDeadline(time.Now())
		<-peeked
		_ = c.SetReadDeadline(time.Time{})
	}
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	select {
	case b.sem <- struct{}{}:
		b.waiting.Add(-1)
	case <-ctx.Done():
		b.waiting.Add(-1)
		return false
	case <-deadline.C:
		b.waiting.Add(-1)
		stopPeek()
		return b.respond(c, r, 503, "Balsamvale-Not-Executed: 1\r\n", nil, -1)
	}
	b.running.Add(1)
	defer func() { b.running.Add(-1); <-b.sem }()
	b.runs.Add(1)
	b.rig.noteRun(run{id: id, backend: b, at: arrived, bytes: n, hash: h.Sum64()})
	work := time.NewTimer(time.Duration(b.slowdown()) * b.work(r))
	defer work.Stop()
	select {
	case <-work.C:
	case <-ctx.Done():
		b.rig.noteEnd(id, "its connection closed")
		return false
	case <-deadline.C:
		b.rig.noteEnd(id, "its time is up")
		stopPeek()
		return b.respond(c, r, 504, fmt.Sprintf("Balsamvale-Response-Signature: %x.504\r\n", h.Sum64()), nil, -1)
	}
	b.rig.noteEnd(id, "done")
	stopPeek()
	a := b.answer(r)
	return b.respond(c, r, a.status, fmt.Sprintf("Balsamvale-Response-Signature: %x.%d\r\n", h.Sum64(), len(a.body)), a.body, a.cut)
}
