package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leaving"] = leaving }

// leaving takes a backend away without a report that it drains: its entry in the store is removed, it serves on for longer
// than the drain timeout, and exits. Meanwhile the store cuts watches that wait, a few times in all.
func leaving(r *rig) int {
	const (
		service      = "certdesk"
		perSecond    = 100
		length       = 20 * time.Second
		removeAt     = 6 * time.Second
		drainTimeout = 2 * time.Second
		servesOn     = 4 * time.Second
		firstCut     = 5 * time.Second
		cutEvery     = 1500 * time.Millisecond
		cuts         = 4
	)
	r.configure(route{name: service, kind: "unsafe", timeout: 600})
	var backends []*backend
	for i := range 4 {
		backends = append(backends, r.startBackend(fmt.Sprintf("i-%d", i), service, 4, 20*time.Millisecond))
	}
	e := r.startEntry("entry-1", 0)
	r.awaitReady()
	begin := time.Now()
	var wg sync.WaitGroup
	var removed, exited time.Time
	wg.Add(2)
	go func() {
		defer wg.Done()
		time.Sleep(removeAt)
		removed = time.Now()
		r.store.remove("servers/" + backends[0].id)
		r.say("the entry of %s is removed from the store, acknowledged", backends[0].id)
		time.Sleep(servesOn)
		backends[0].crash()
		exited = time.Now()
		r.say("%s exits", backends[0].id)
	}()
	go func() {
		defer wg.Done()
		if !r.trouble {
			return
		}
		time.Sleep(firstCut)
		for range cuts {
			r.logf("the store cuts the watches that wait")
			r.store.cutWatches()
			time.Sleep(cutEvery)
		}
	}()
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	statuses := map[int]int{}
	for i := 0; time.Since(begin) < length; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := &request{id: fmt.Sprintf("%016x", 0xd000+i), method: http.MethodPost, service: service, path: fmt.Sprintf("d%d", i), limit: 600 * time.Millisecond, body: []byte("order")}
			mu.Lock()
			sentAt[q.id] = time.Now()
			mu.Unlock()
			r.logf("sent %s", q.id)
			a := q.do(e.front)
			r.logf("answered %s: %v", q.id, a)
			mu.Lock()
			statuses[a.status]++
			mu.Unlock()
		}()
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * time.Second / perSecond)))
	}
	wg.Wait()
	late, worst := 0, time.Duration(0)
	for _, run := range backends[0].runs {
		if after := run.at.Sub(removed); sentAt[run.requestID].Sub(removed) > 0 && after > drainTimeout {
			late++
			worst = max(worst, after)
			r.logf("DRAIN: request %s, sent %.3f s after the removal, reaches %s %.3f s after it", run.requestID, sentAt[run.requestID].Sub(removed).Seconds(), run0(backends), after.Seconds())
		}
	}
	r.say("watches cut: %d; answers by status (0: none): %v", r.store.cuts, statuses)
	r.say("%d requests reached %s later than %v after its removal, the last one after %.2f s; it exited after %.2f s", late, backends[0].id, drainTimeout, worst.Seconds(), exited.Sub(removed).Seconds())
	if late > 0 {
		return broken
	}
	return held
}

func run0(backends []*backend) string { return backends[0].id }
