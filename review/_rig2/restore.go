package main

import (
	"sync"
	"syscall"
	"time"
)

// sender sends requests at a rate until stopped.
type sender struct {
	mu      sync.Mutex
	results []result
	stop    chan struct{}
	wg      sync.WaitGroup
}

// keepSending sends requests to all entries in turn, one each gap.
func keepSending(gap time.Duration, method, host, path, body string, limit time.Duration) *sender {
	s := &sender{stop: make(chan struct{})}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		t := time.NewTicker(gap)
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-s.stop:
				return
			case <-t.C:
			}
			e := entries[i%len(entries)]
			s.wg.Add(1)
			go func() {
				defer s.wg.Done()
				r := request(e, method, host, path, body, limit)
				s.mu.Lock()
				s.results = append(s.results, r)
				s.mu.Unlock()
			}()
		}
	}()
	return s
}

// end stops the sender and returns the results.
func (s *sender) end() []result {
	close(s.stop)
	s.wg.Wait()
	return s.results
}

// ghost plays a backend that has left without a report, and that the copy of the store still lists.
func ghost() {
	st := newStore()
	for i, zone := range []string{"a", "b", "a"} {
		newBackend(st, "i-"+string(rune('k'+i)), "desk", zone, 60*time.Millisecond)
	}
	gone := newBackend(st, "i-gone", "desk", "b", 60*time.Millisecond)
	st.put("op/config", config(7, []string{"desk"}, route("r-book", "desk.example", "/book/", "unsafe", "desk", 1000)))
	for _, n := range []string{"front-a-1", "front-b-1", "front-a-2", "front-b-2"} {
		newEntry(st, n, n[6:7])
	}
	awaitReady()
	load := keepSending(10*time.Millisecond, "POST", "desk.example", "/book/1", "x", time.Second)
	time.Sleep(5 * time.Second)
	older := st.copyState()
	record("operator: the store is copied at revision %d", older.revision)
	time.Sleep(time.Second)
	gone.leaving.Store(true)
	record("backend i-gone: answers say Server-Leaving from now on")
	time.Sleep(300 * time.Millisecond)
	gone.silent.Store(true)
	st.remove("servers/i-gone")
	removedAt := time.Now()
	record("store: servers/i-gone removed, acknowledged")
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		st.stop()
		record("store: away")
		time.Sleep(300 * time.Millisecond)
		st.restart(&older)
		record("store: back from the copy, era 1")
	}
	backAt := time.Now()
	time.Sleep(8 * time.Second)
	results := load.end()
	late := 0
	first := map[string]int{}
	for _, r := range gone.taken() {
		if r.at.Sub(removedAt) <= 2*time.Second {
			continue
		}
		late++
		first[r.entry]++
		record("backend i-gone: request %s of %s %.3f s after its removal, %.3f s after the store was back", r.id, r.entry, r.at.Sub(removedAt).Seconds(), r.at.Sub(backAt).Seconds())
	}
	record("sent %d requests; %d reached i-gone later than 2 s after its removal, by entry %v", len(results), late, first)
	keepLogs()
	if late > 0 {
		finish(1, "DRAIN broken: %d requests reached a backend that had left more than 2 s before", late)
	}
	finish(0, "held")
}

// regress plays an operator who takes some seconds to write again what the store has lost.
func regress() {
	st := newStore()
	for i, zone := range []string{"a", "b"} {
		newBackend(st, "i-"+string(rune('k'+i)), "desk", zone, 20*time.Millisecond)
	}
	old := route("r-book", "desk.example", "/book/", "unsafe", "desk", 1000)
	added := route("r-new", "desk.example", "/order/", "unsafe", "desk", 1000)
	st.put("op/config", config(7, []string{"desk"}, old))
	for _, n := range []string{"front-a-1", "front-b-1", "front-a-2"} {
		newEntry(st, n, n[6:7])
	}
	awaitReady()
	time.Sleep(2 * time.Second)
	older := st.copyState()
	next := config(9, []string{"desk"}, old, added)
	st.put("op/config", next)
	record("operator: version 9 adds a route, acknowledged")
	time.Sleep(3 * time.Second)
	load := keepSending(20*time.Millisecond, "POST", "desk.example", "/order/1", "x", time.Second)
	time.Sleep(2 * time.Second)
	if trouble {
		st.stop()
		record("store: away")
		time.Sleep(300 * time.Millisecond)
		st.restart(&older)
		record("store: back from the copy, era 1")
	}
	time.Sleep(6 * time.Second)
	st.put("op/config", next)
	record("operator: version 9 written again")
	time.Sleep(2 * time.Second)
	results := load.end()
	denied, served := 0, 0
	for _, r := range results {
		switch r.status {
		case 404:
			denied++
		case 200:
			served++
		}
	}
	keepLogs()
	record("sent %d, served %d, 404 %d", len(results), served, denied)
	if denied > 0 {
		finish(1, "regressed: %d requests on a route that is in force got 404", denied)
	}
	finish(0, "held")
}

// keepLogs copies what the entries have logged of their state into the record.
func keepLogs() {
	for _, e := range entries {
		e.signal(syscall.SIGTERM)
	}
	logLines()
}
