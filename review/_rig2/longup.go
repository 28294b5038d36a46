package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

func envInt(name string, preset int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return preset
}

// long plays long uploads while the backends of one zone are down and come back.
func long() {
	const (
		uploadBytes = 700 << 10
		timeLimit   = 1200 * time.Millisecond
		down        = 4500 * time.Millisecond
	)
	st := newStore()
	byZone := map[string][]*backend{}
	for i := range 14 {
		zone := "abcd"[i%4 : i%4+1]
		byZone[zone] = append(byZone[zone], newBackend(st, fmt.Sprintf("i-%d", i), "desk", zone, 60*time.Millisecond))
	}
	st.put("op/config", config(7, []string{"desk"}, route("r-up", "desk.example", "/up/", "upload", "desk", 1200)))
	for i := range 12 {
		zone := "abcd"[i%4 : i%4+1]
		newEntry(st, fmt.Sprintf("front-%s-%d", zone, i/4+1), zone)
	}
	awaitReady()
	time.Sleep(time.Second)
	var mu sync.Mutex
	counts := map[string]int{}
	var denied []result
	var wg sync.WaitGroup
	begin := time.Now()
	if trouble {
		for i, zone := range []string{"a", "c"} {
			at := 3*time.Second + time.Duration(i)*8*time.Second
			time.AfterFunc(at, func() {
				for _, b := range byZone[zone] {
					b.silent.Store(true)
					_ = b.server.Close()
					record("backend %s is down", b.id)
				}
			})
			time.AfterFunc(at+down, func() {
				for _, b := range byZone[zone] {
					id := b.id + "-again"
					newBackend(st, id, "desk", zone, 60*time.Millisecond)
					record("backend %s is up in the place of %s", id, b.id)
				}
			})
		}
	}
	for i := 0; time.Since(begin) < 20*time.Second; i++ {
		time.Sleep(25 * time.Millisecond)
		wg.Add(1)
		go func() {
			defer wg.Done()
			e := entries[i%len(entries)]
			r := upload(e, "desk.example", fmt.Sprintf("/up/%d", i), uploadBytes, false, false, timeLimit)
			mu.Lock()
			defer mu.Unlock()
			counts[fmt.Sprintf("status %d, error %v", r.status, r.err)]++
			if r.status/100 == 3 || r.status/100 == 4 && r.status != 408 && r.status != 421 && r.status != 429 {
				denied = append(denied, r)
				record("upload %s by %s at %.3f: status %d %q", r.id, e.name, r.sent.Sub(began).Seconds(), r.status, r.body)
			}
		}()
	}
	wg.Wait()
	total := 0
	for k, n := range counts {
		record("%d uploads: %s", n, k)
		total += n
	}
	ran := 0
	for _, r := range denied {
		for _, b := range backends {
			for _, x := range b.taken() {
				if x.id == r.id {
					ran++
				}
			}
		}
	}
	bound := 5 + float64(total)/500
	record("%d of %d proper uploads got a 4xx of the entry, %d of them ran; allowed are 5 + one in 500: %.1f", len(denied), total, ran, bound)
	if float64(len(denied)) > bound {
		finish(1, "DENIED broken: %d of %d proper uploads got a 4xx of the entry, and are not sent again", len(denied), total)
	}
	finish(0, "held")
}
