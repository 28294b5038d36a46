package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["repeats"] = repeats }

// repeats sends bookings to an unsafe route, each with a key of its own, while some clients repeat theirs at once. Each success
// must be the answer of a backend to the request that it answers.
func repeats(r *rig) int {
	const (
		service    = "benchdesk"
		perSecond  = 40
		length     = 14 * time.Second
		repeatFrom = 4 * time.Second
		repeatFor  = 5500 * time.Millisecond
		// repeatEvery makes a share of 0.25 of the clients.
		repeatEvery = 4
		repeatTimes = 3
	)
	r.configure(route{name: service, kind: "unsafe", timeout: 1000})
	var backends []*backend
	for i := range 11 {
		backends = append(backends, r.startBackend(fmt.Sprintf("i-%d", i), service, 4, 78*time.Millisecond))
	}
	r.startEntry("entry-1", 0)
	r.startEntry("entry-2", 0)
	r.awaitReady()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	statuses := map[int]int{}
	send := func(id string, order int) {
		q := &request{
			id: id, method: http.MethodPost, service: service, path: fmt.Sprintf("b%d", order), limit: time.Second,
			headers: []string{fmt.Sprintf("Idempotency-Key: booking-%d", order)}, body: bytes.Repeat([]byte("b"), 1200),
		}
		e := r.entries[rand.IntN(len(r.entries))]
		r.logf("sent %s to %s: booking %d", id, e.name, order)
		a := q.do(e.front)
		r.logf("answered %s: %v, for request %q", id, a, a.header.Get("Balsamvale-Request-Id"))
		mu.Lock()
		answers[id] = a
		statuses[a.status]++
		mu.Unlock()
	}
	begin := time.Now()
	for i := 0; time.Since(begin) < length; i++ {
		since := time.Since(begin)
		repeating := r.trouble && since > repeatFrom && since < repeatFrom+repeatFor && i%repeatEvery == 0
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(fmt.Sprintf("%08x%08x", i+1, 0), i)
			for k := 1; repeating && k <= repeatTimes; k++ {
				send(fmt.Sprintf("%08x%08x", i+1, k), i)
			}
		}()
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * time.Second / perSecond)))
	}
	wg.Wait()
	runs := runsOf(backends)
	unsigned, unrun := 0, 0
	for id, a := range answers {
		if a.err != nil || a.status/100 != 2 {
			continue
		}
		if a.header.Get("Balsamvale-Response-Signature") == "" {
			unsigned++
			r.logf("MIXED: request %s got %d without a signature, body %q", id, a.status, a.body)
		}
		if len(runs[id]) == 0 {
			unrun++
		}
	}
	r.say("%d requests, answers by status (0: none): %v; %d successes without a signature, %d successes of requests that no backend ran", len(answers), statuses, unsigned, unrun)
	if unsigned > 0 {
		return broken
	}
	return held
}
