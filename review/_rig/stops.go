package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stops"] = stops }

// balancer stands in for the platform's balancer of one zone.
type balancer struct {
	mu      sync.Mutex
	entries []*entry
	misses  []int
}

// loop asks each entry once a second whether it is ready.
func (b *balancer) loop() {
	for range time.Tick(time.Second) {
		for i, e := range b.entries {
			ok := e.running() && e.ready()
			b.mu.Lock()
			b.misses[i]++
			if ok {
				b.misses[i] = 0
			}
			b.mu.Unlock()
		}
	}
}

// pick returns an entry for a new connection: one that is in rotation or, if fewer than half are, any of the zone. An entry whose
// process has ended gets none.
func (b *balancer) pick() *entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in, all []*entry
	for i, e := range b.entries {
		if b.misses[i] < 2 {
			in = append(in, e)
		}
		if e.running() {
			all = append(all, e)
		}
	}
	if 2*len(in) < len(b.entries) {
		in = all
	}
	return in[rand.IntN(len(in))]
}

// stops stops two of the three entries of a zone, one second apart, while clients send each request on a new connection. No request
// that an entry has passed on may lose its answer.
func stops(r *rig) int {
	const (
		service   = "benchdesk"
		perSecond = 98
		length    = 16 * time.Second
		stopAt    = 4 * time.Second
		gap       = time.Second
	)
	r.configure(route{name: service, kind: "unsafe", timeout: 1000})
	var backends []*backend
	for i := range 11 {
		backends = append(backends, r.startBackend(fmt.Sprintf("i-%d", i), service, 4, 78*time.Millisecond))
	}
	for i := range 3 {
		r.startEntry(fmt.Sprintf("entry-%d", i+1), 0)
	}
	r.awaitReady()
	b := &balancer{entries: r.entries, misses: make([]int, len(r.entries))}
	go b.loop()
	begin := time.Now()
	var wg sync.WaitGroup
	for i, e := range r.entries[:2] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(begin.Add(stopAt + time.Duration(i)*gap)))
			if !r.trouble {
				return
			}
			term := time.Now()
			r.say("%5.1f s: SIGTERM for %s", time.Since(begin).Seconds(), e.name)
			_ = e.cmd.Process.Signal(syscall.SIGTERM)
			<-e.exited
			r.say("%5.1f s: %s has ended, %.2f s after SIGTERM", time.Since(begin).Seconds(), e.name, time.Since(term).Seconds())
		}()
	}
	var mu sync.Mutex
	cut := map[string]string{}
	statuses := map[int]int{}
	for i := 0; time.Since(begin) < length; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			e := b.pick()
			q := &request{id: fmt.Sprintf("%016x", 0xf000+i), method: http.MethodPost, service: service, path: fmt.Sprintf("s%d", i), limit: time.Second, body: bytes.Repeat([]byte("b"), 1200)}
			r.logf("sent %s to %s", q.id, e.name)
			a := q.do(e.front)
			r.logf("answered %s: %v", q.id, a)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.err != nil {
				cut[q.id] = e.name
			}
		}()
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * time.Second / perSecond)))
	}
	wg.Wait()
	lost := 0
	runs := runsOf(backends)
	for id, name := range cut {
		if len(runs[id]) > 0 {
			lost++
			r.logf("LOST: request %s at %s was passed on to %v and got no answer", id, name, runs[id])
		}
	}
	r.say("answers by status (0: none): %v; %d requests were passed on and got no answer", statuses, lost)
	if lost > 0 {
		return broken
	}
	return held
}
