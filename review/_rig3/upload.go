package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// uploadCase sends long uploads while single backends lose power, one after the other. A 4xx of the entry's own for a proper request
// ends it for good: no client comes back after 400.
func uploadCase(g *rig, trouble bool) (bool, error) {
	const (
		count    = 8
		length   = 70 * time.Second
		interval = 21 * time.Millisecond
		darkFor  = 4500 * time.Millisecond
		pause    = 2 * time.Second
	)
	f := &fleet{rig: g}
	defer f.cleanUp()
	if _, err := f.add(count, "fringestore", "v1", nil); err != nil {
		return false, err
	}
	g.putConfig(7, []string{"fringestore"}, route{"r-upload", "uploads.example", "/fringe/", "upload", "fringestore", 1200 * time.Millisecond, 300 * time.Millisecond, 1})
	if err := g.startEntries(4); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	body := make([]byte, 1<<20)
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	var wg sync.WaitGroup
	if trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				time.Sleep(pause)
				live := f.backends[len(f.backends)-count:]
				b := live[rand.IntN(len(live))]
				if b.isDark() {
					continue
				}
				g.logf("fault  %s loses power", b.id)
				if err := b.losePower(); err != nil {
					g.logf("fault  not brought about: %v", err)
				}
				time.Sleep(darkFor)
				// It comes back as a new lifetime, under another id.
				if _, err := f.add(1, "fringestore", "v1", nil); err != nil {
					g.logf("fault  no new backend: %v", err)
				}
			}
		}()
	}
	var mu sync.Mutex
	sent, ok, denied, deniedUnrun, others := 0, 0, 0, 0, 0
	every(ctx, interval, func() {
		q := &request{id: g.newID(), method: "POST", host: "uploads.example", path: "/fringe/2f", body: body, remaining: 1200 * time.Millisecond}
		res := g.send(g.anyEntry(), q)
		mu.Lock()
		defer mu.Unlock()
		sent++
		switch own := res.err == nil && res.header.Get("Balsamvale-Response-Signature") == ""; {
		case res.err == nil && res.status == 200:
			ok++
		case own && res.status >= 300 && res.status < 500 && res.status != 408 && res.status != 421 && res.status != 429:
			denied++
			if len(g.runsOf(q.id)) == 0 {
				deniedUnrun++
			}
		default:
			others++
		}
	})
	wg.Wait()
	allowed := 5 + sent/500
	g.say("%d uploads sent, %d answered 200, %d ended with a 3xx or 4xx of the entry's own (%d of them ran nowhere), %d otherwise; DENIED allows %d",
		sent, ok, denied, deniedUnrun, others, allowed)
	return denied > allowed, nil
}
