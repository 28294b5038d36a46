package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["gone"] = gone }

// gone cuts a backend off from the store for 5 s, but not from the entry. Its entry in the store is removed after three ping
// intervals and comes back with its first ping after the cut. Around the removal the store cuts watches that wait, three times in
// all. In between, the backend counts as gone.
func gone(r *rig) int {
	const (
		service      = "certdesk"
		perSecond    = 100
		length       = 16 * time.Second
		pingInterval = 1500 * time.Millisecond
		lastPing     = 2 * time.Second
		cutAt        = lastPing + 1400*time.Millisecond
		cutFor       = 5 * time.Second
		removeAt     = lastPing + 3*pingInterval
		backAt       = lastPing + 5*pingInterval
		drainTimeout = 2 * time.Second
		firstCut     = removeAt - 1250*time.Millisecond
		cutEvery     = 1500 * time.Millisecond
		cuts         = 3
	)
	if cutAt+cutFor <= lastPing+4*pingInterval || cutAt+cutFor >= backAt {
		panic("the backend would come back at another time")
	}
	r.configure(route{name: service, kind: "unsafe", timeout: 600})
	var backends []*backend
	for i := range 8 {
		backends = append(backends, r.startBackend(fmt.Sprintf("i-%d", i), service, 4, 48*time.Millisecond))
	}
	e := r.startEntry("entry-1", 0)
	r.awaitReady()
	begin := time.Now()
	var wg sync.WaitGroup
	var removed, back time.Time
	wg.Add(2)
	go func() {
		defer wg.Done()
		time.Sleep(time.Until(begin.Add(cutAt)))
		r.say("%5.1f s: %s is cut off from the store; its last ping was at %.1f s", time.Since(begin).Seconds(), backends[0].id, lastPing.Seconds())
		time.Sleep(time.Until(begin.Add(removeAt)))
		removed = time.Now()
		r.store.remove("servers/" + backends[0].id)
		r.say("%5.1f s: three ping intervals have passed, the entry of %s is removed", time.Since(begin).Seconds(), backends[0].id)
		time.Sleep(time.Until(begin.Add(backAt)))
		back = time.Now()
		backends[0].register("ready")
		r.say("%5.1f s: the cut has ended, %s is registered again", time.Since(begin).Seconds(), backends[0].id)
	}()
	go func() {
		defer wg.Done()
		if !r.trouble {
			return
		}
		for k := range cuts {
			time.Sleep(time.Until(begin.Add(firstCut + time.Duration(k)*cutEvery)))
			r.store.cutWatches()
			r.say("%5.1f s: the store cuts the watches that wait", time.Since(begin).Seconds())
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
		after := run.at.Sub(removed)
		if sentAt[run.requestID].Before(removed) || after <= drainTimeout || !run.at.Before(back) {
			continue
		}
		late++
		worst = max(worst, after)
		r.logf("DRAIN: request %s, sent %.3f s after the removal, reaches %s %.3f s after it", run.requestID, sentAt[run.requestID].Sub(removed).Seconds(), backends[0].id, after.Seconds())
	}
	r.say("watches cut: %d; answers by status (0: none): %v", r.store.cuts, statuses)
	r.say("%d requests reached %s later than %v after its removal, the last one after %.2f s; it was back after %.2f s", late, backends[0].id, drainTimeout, worst.Seconds(), back.Sub(removed).Seconds())
	if late > 0 {
		return broken
	}
	return held
}
