package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["descriptors"] = descriptors }

const (
	descriptorEntries = 4
	descriptorLimit   = 4100
	// keptClients keep a connection each and send a request every keptInterval, which is within four fifths of the idle
	// timeout of 15 s. That makes 383 requests a second.
	keptClients  = 4400
	keptInterval = 11500 * time.Millisecond
	// lossEvery is the time between the losses of two entries.
	lossEvery = 12 * time.Second
)

// keptClient is a client that keeps its connection open.
type keptClient struct {
	fleet *keptFleet
	n     int
	entry *entry
	conn  net.Conn
	br    *bufio.Reader
	// used counts the answers on the connection.
	used int
}

// keptFleet is what the clients share.
type keptFleet struct {
	rig *rig
	// done is closed when the clients stop, and stopped is set before.
	done    chan struct{}
	stopped atomic.Bool
	last    *entry

	sent, served, other, unconnected, open, peak atomic.Int64

	mu sync.Mutex
	// lost holds the requests that were sent to the last entry on a kept connection, which ended without an answer.
	lost []string
}

// descriptors takes away all entries but one, one after the other. The clients keep their connections open between requests;
// those of an entry that is lost come to the entries that are left. Each entry may have as many descriptors as its settings
// say.
func descriptors(r *rig) int {
	const service = "alignrec"
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 2*descriptorLimit+2000 {
		panic(fmt.Sprintf("this process may have %d descriptors only", limit.Cur))
	}
	r.configure(route{name: service, kind: "safe", timeout: 800})
	var backends []*backend
	for i := range 17 {
		backends = append(backends, r.startBackend(fmt.Sprintf("i-%d", i), service, 4, 60*time.Millisecond))
	}
	for i := range descriptorEntries {
		r.startEntry(fmt.Sprintf("entry-%d", i+1), descriptorLimit)
	}
	r.awaitReady()
	f := &keptFleet{rig: r, done: make(chan struct{}), last: r.entries[descriptorEntries-1]}
	var wg sync.WaitGroup
	for i := range keptClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &keptClient{fleet: f, n: i}
			c.loop(service, time.Duration(i)*keptInterval/keptClients)
		}()
	}
	var memory atomic.Int64
	go func() {
		for f.last.running() {
			memory.Store(max(memory.Load(), f.last.memory()))
			time.Sleep(200 * time.Millisecond)
		}
	}()
	begin := time.Now()
	for _, e := range r.entries[:descriptorEntries-1] {
		time.Sleep(lossEvery)
		if r.trouble {
			r.say("%5.1f s: %s is lost; %s has %d connections of clients", time.Since(begin).Seconds(), e.name, f.last.name, f.open.Load())
			e.kill()
		}
	}
	select {
	case <-f.last.exited:
	case <-time.After(lossEvery + 6*time.Second):
	}
	ended := !f.last.running()
	if ended {
		r.say("%5.1f s: %s has ended by itself: %v", time.Since(begin).Seconds(), f.last.name, f.last.err)
		r.say("its last line: %s", f.last.logTail(1))
	}
	f.stopped.Store(true)
	r.say("at most %d MB of memory in use by %s", memory.Load()>>20, f.last.name)
	close(f.done)
	wg.Wait()
	runs := runsOf(backends)
	lost := 0
	for _, id := range f.lost {
		if len(runs[id]) > 0 {
			lost++
			r.logf("LOST: request %s on a kept connection ran at %v and got no answer", id, runs[id])
		}
	}
	r.say("%d requests sent, %d served, %d answered otherwise, %d without a connection; at most %d connections of clients at %s", f.sent.Load(), f.served.Load(), f.other.Load(), f.unconnected.Load(), f.peak.Load(), f.last.name)
	r.say("%d requests on kept connections to %s ran at a backend and got no answer", lost, f.last.name)
	if ended && lost > 3 {
		return broken
	}
	return held
}

// loop sends a request every keptInterval, after a first wait.
func (c *keptClient) loop(service string, wait time.Duration) {
	defer c.close()
	for i := 0; ; i++ {
		select {
		case <-time.After(wait):
		case <-c.fleet.done:
			return
		}
		begin := time.Now()
		c.request(&request{id: fmt.Sprintf("%08x%08x", c.n+1, i), method: http.MethodGet, service: service, path: fmt.Sprintf("p%d", c.n), limit: 800 * time.Millisecond})
		wait = keptInterval - time.Since(begin)
	}
}

// request sends a request on the kept connection, or on a new one if there is none.
func (c *keptClient) request(q *request) {
	f := c.fleet
	if c.conn != nil && !c.entry.running() {
		c.close()
	}
	if c.conn == nil && !c.connect() {
		f.unconnected.Add(1)
		f.rig.logf("request %s is not sent: no connection", q.id)
		return
	}
	f.sent.Add(1)
	_ = c.conn.SetDeadline(time.Now().Add(q.limit))
	err := q.send(c.conn)
	a := answer{err: err}
	if err == nil {
		a = receive(c.br, q.method)
	}
	f.rig.logf("request %s at %s: %v", q.id, c.entry.name, a)
	switch {
	case a.err == nil && a.status == http.StatusOK:
		f.served.Add(1)
	case a.err == nil:
		f.other.Add(1)
	case c.entry == f.last && c.used > 0 && !f.stopped.Load():
		f.mu.Lock()
		f.lost = append(f.lost, q.id)
		f.mu.Unlock()
	}
	c.used++
	if a.err != nil || a.header.Get("Connection") == "close" {
		c.close()
	}
}

// connect opens a connection to a random entry that runs.
func (c *keptClient) connect() bool {
	var running []*entry
	for _, e := range c.fleet.rig.entries {
		if e.running() {
			running = append(running, e)
		}
	}
	if len(running) == 0 {
		return false
	}
	c.entry = running[rand.IntN(len(running))]
	conn, err := net.DialTimeout("tcp", c.entry.front, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.br, c.used = conn, bufio.NewReaderSize(conn, 512), 0
	if c.entry == c.fleet.last {
		n := c.fleet.open.Add(1)
		for {
			p := c.fleet.peak.Load()
			if n <= p || c.fleet.peak.CompareAndSwap(p, n) {
				break
			}
		}
	}
	return true
}

func (c *keptClient) close() {
	if c.conn == nil {
		return
	}
	_ = c.conn.Close()
	c.conn = nil
	if c.entry == c.fleet.last {
		c.fleet.open.Add(-1)
	}
}
