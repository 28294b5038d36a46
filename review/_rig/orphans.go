package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["orphans"] = orphans }

// orphans moves the route of a service whose backends have all crashed for 4.5 s to another service, by a configuration that no longer
// lists the first one. Each request must have its final answer half a second after the timeout of its route at the latest.
func orphans(r *rig) int {
	const (
		service, spare = "certdesk", "certdesk-spare"
		perSecond      = 60
		length         = 14 * time.Second
		crashAt        = 5 * time.Second
		crashFor       = 4500 * time.Millisecond
		moveAt         = 6500 * time.Millisecond
		timeout        = 1000
		late           = 500 * time.Millisecond
	)
	r.configure(route{name: service, kind: "unsafe", timeout: timeout}, route{name: spare, kind: "unsafe", timeout: timeout})
	var backends []*backend
	for i := range 4 {
		backends = append(backends, r.startBackend(fmt.Sprintf("i-%d", i), service, 4, 48*time.Millisecond))
		r.startBackend(fmt.Sprintf("s-%d", i), spare, 4, 48*time.Millisecond)
	}
	e := r.startEntry("entry-1", 0)
	r.awaitReady()
	var wg sync.WaitGroup
	wg.Add(1)
	begin := time.Now()
	go func() {
		defer wg.Done()
		time.Sleep(crashAt)
		if r.trouble {
			r.say("%5.1f s: all %d backends of %s crash", time.Since(begin).Seconds(), len(backends), service)
			for _, b := range backends {
				b.crash()
			}
		}
		time.Sleep(moveAt - crashAt)
		r.configure(route{name: service, kind: "unsafe", timeout: timeout, service: spare})
		r.say("%5.1f s: a configuration moves the route to %s and no longer lists %s", time.Since(begin).Seconds(), spare, service)
		if !r.trouble {
			return
		}
		time.Sleep(time.Until(begin.Add(crashAt + crashFor)))
		for _, b := range backends {
			b.restart()
		}
		r.say("%5.1f s: the backends of %s are back", time.Since(begin).Seconds(), service)
	}()
	var mu sync.Mutex
	statuses := map[int]int{}
	long, unanswered := 0, 0
	for i := 0; time.Since(begin) < length; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := &request{id: fmt.Sprintf("%016x", 0xe000+i), method: http.MethodPost, service: service, path: fmt.Sprintf("o%d", i), limit: 5 * time.Second, body: []byte("order")}
			r.logf("sent %s", q.id)
			start := time.Now()
			a := q.do(e.front)
			took := time.Since(start)
			r.logf("answered %s after %.3f s: %v", q.id, took.Seconds(), a)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if took > timeout*time.Millisecond {
				long++
			}
			if took > timeout*time.Millisecond+late {
				unanswered++
				r.logf("CONFIG: request %s has no answer %.3f s after it was sent", q.id, took.Seconds())
			}
		}()
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * time.Second / perSecond)))
	}
	wg.Wait()
	r.say("answers by status (0: none): %v; %d requests lasted longer than the timeout of the route, %d of them have no answer 0.5 s after it", statuses, long, unanswered)
	if unanswered >= 8 && 4*unanswered > long {
		return broken
	}
	return held
}
