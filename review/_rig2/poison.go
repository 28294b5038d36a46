package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// killer is the header value of the caller whose request crashes each backend that runs it.
const killer = "caller-13"

// poisonCase plays a request of one caller that crashes each backend, on a path that other callers use as well.
func poisonCase() {
	st := newStore()
	var mu sync.Mutex
	var crashes []time.Time
	var reached []time.Time
	next := 0
	var start func()
	start = func() {
		mu.Lock()
		id, zone := fmt.Sprintf("i-%d", next), "ab"[next%2:next%2+1]
		next++
		mu.Unlock()
		b := newBackend(st, id, "desk", zone, 60*time.Millisecond)
		b.answer = func(b *backend, w http.ResponseWriter, r *http.Request, _ []byte) {
			if r.Header.Get("X-Caller") != killer {
				time.Sleep(b.work)
				b.finish(w, "answer of "+b.id+"\n")
				return
			}
			now := time.Now()
			mu.Lock()
			reached = append(reached, now)
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			record("backend %s crashes on request %s, the %dth crash", b.id, r.Header.Get("Balsamvale-Request-Id"), n)
			b.silent.Store(true)
			_ = b.server.Close()
			time.AfterFunc(2*time.Second, start)
			panic(http.ErrAbortHandler)
		}
	}
	for range 8 {
		start()
	}
	st.put("op/config", config(7, []string{"desk"}, route("r-book", "desk.example", "/book/", "unsafe", "desk", 1000)))
	for _, n := range []string{"front-a-1", "front-b-1", "front-a-2", "front-b-2"} {
		newEntry(st, n, n[6:7])
	}
	awaitReady()
	time.Sleep(time.Second)
	load := keepSending(20*time.Millisecond, "POST", "desk.example", "/book/1", "x", time.Second)
	time.Sleep(2 * time.Second)
	lost := 0
	if trouble {
		for i := range 24 {
			r := requestAs(killer, entries[i%len(entries)], "POST", "desk.example", "/book/1", "x", time.Second)
			record("caller-13 by %s: status %d, error %v", entries[i%len(entries)].name, r.status, r.err)
			time.Sleep(time.Second)
		}
	} else {
		time.Sleep(10 * time.Second)
	}
	results := load.end()
	for _, r := range results {
		if r.status != 200 && r.status != 503 {
			lost++
		}
	}
	mu.Lock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range reached {
			if at.Sub(crashes[2]) > 3*time.Second {
				late++
			}
		}
	}
	mu.Unlock()
	counts := map[int]int{}
	for _, r := range results {
		counts[r.status]++
	}
	record("%d crashes; %d requests of caller-13 reached a backend later than contact_ms after the third; the other callers got %v", len(crashes), late, counts)
	keepLogs()
	if late > 3 {
		finish(1, "BUDGET broken: a request that crashes backends reached them %d times later than contact_ms after the third crash, and %d requests of others were lost", late, lost)
	}
	finish(0, "held")
}
