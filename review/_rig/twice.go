package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["lost-answer"] = lostAnswer }

// lostAnswer sends orders without a body to an unsafe route, while some backends lose the answers of some requests that they
// ran. No request may run twice.
func lostAnswer(r *rig) int {
	const (
		service   = "certdesk"
		perSecond = 100
		length    = 15 * time.Second
		loseFrom  = 5 * time.Second
		loseFor   = 5500 * time.Millisecond
		// loseEvery makes 0.025 of the answers.
		loseEvery = 40
		backendsN = 8
		losersN   = 3
	)
	r.configure(route{name: service, kind: "unsafe", timeout: 600})
	var losing atomic.Bool
	var lost atomic.Int64
	var backends []*backend
	for i := range backendsN {
		b := r.startBackend(fmt.Sprintf("i-%d", i), service, 4, 48*time.Millisecond)
		if i < losersN {
			var ran atomic.Int64
			b.loseAnswer = func() bool {
				if !losing.Load() || ran.Add(1)%loseEvery != 0 {
					return false
				}
				lost.Add(1)
				return true
			}
		}
		backends = append(backends, b)
	}
	e := r.startEntry("entry-1", 0)
	r.awaitReady()
	if r.trouble {
		time.AfterFunc(loseFrom, func() {
			r.say("%d of %d backends lose the answer of each %dth request that they run", losersN, backendsN, loseEvery)
			losing.Store(true)
		})
		time.AfterFunc(loseFrom+loseFor, func() { losing.Store(false) })
	}
	var wg sync.WaitGroup
	begin := time.Now()
	sent := 0
	for i := 0; time.Since(begin) < length; i++ {
		sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := &request{
				id: fmt.Sprintf("%016x", 0xa000+i), method: http.MethodDelete, service: service, path: fmt.Sprintf("c%d", i),
				limit: 600 * time.Millisecond, headers: []string{fmt.Sprintf("X-Idempotency-Key: order-%d", i)},
			}
			r.logf("sent %s: %s /%s/%s", q.id, q.method, service, q.path)
			r.logf("answered %s: %v", q.id, q.do(e.front))
		}()
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * time.Second / perSecond)))
	}
	wg.Wait()
	time.Sleep(time.Second)
	code, twice := held, 0
	for id, at := range runsOf(backends) {
		if len(at) > 1 {
			twice++
			r.logf("TWICE: request %s ran %d times, at %v", id, len(at), at)
			code = broken
		}
	}
	r.say("%d requests, %d answers lost, %d requests ran more than once", sent, lost.Load(), twice)
	return code
}
