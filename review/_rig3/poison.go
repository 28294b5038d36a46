package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// poisonCase sends long uploads to one path, and every two seconds, from one client, another one to the same path whose body crashes
// each backend that begins to run it.
func poisonCase(g *rig, trouble bool) (bool, error) {
	const (
		count    = 16
		length   = 60 * time.Second
		interval = 32 * time.Millisecond
		repeat   = 2 * time.Second
		backIn   = 3 * time.Second
		contact  = 3 * time.Second
		retries  = 3
	)
	f := &fleet{rig: g}
	defer f.cleanUp()
	body := make([]byte, 1<<20)
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	poison := append([]byte(nil), body...)
	poison[len(poison)/2] ^= 1
	poisonHash := hashOf(poison)
	var mu sync.Mutex
	var crashes []time.Time
	var set func(b *backend)
	set = func(b *backend) {
		b.work = func(*httpRequest) time.Duration { return 310 * time.Millisecond }
		b.onRun = func(r run) bool {
			if r.hash != poisonHash || !trouble {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			g.logf("fault  %s crashes by %s, crash %d", b.id, r.id, n)
			b.crash()
			time.AfterFunc(backIn, func() {
				mu.Lock()
				defer mu.Unlock()
				if _, err := f.add(1, "fringestore", "v1", set); err != nil {
					g.logf("fault  no new backend: %v", err)
				}
			})
			return true
		}
	}
	if _, err := f.add(count, "fringestore", "v1", set); err != nil {
		return false, err
	}
	g.putConfig(7, []string{"fringestore"}, route{"r-upload", "uploads.example", "/fringe/", "upload", "fringestore", 6 * time.Second, 1500 * time.Millisecond, 1})
	if err := g.startEntries(4); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	upload := func(body []byte) (*request, result) {
		q := &request{id: g.newID(), method: "POST", host: "uploads.example", path: "/fringe/2f", body: body, remaining: 6 * time.Second}
		return q, g.send(g.anyEntry(), q)
	}
	var wg sync.WaitGroup
	var poisons []string
	wg.Add(1)
	go func() {
		defer wg.Done()
		for ctx.Err() == nil {
			time.Sleep(repeat)
			q, _ := upload(poison)
			poisons = append(poisons, q.id)
		}
	}()
	sent, ok, refused, others := 0, 0, 0, 0
	every(ctx, interval, func() {
		_, res := upload(body)
		mu.Lock()
		defer mu.Unlock()
		sent++
		switch {
		case res.err == nil && res.status == 200:
			ok++
		case res.err == nil && res.status == 503:
			refused++
		default:
			others++
		}
	})
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, id := range poisons {
		for _, r := range g.runsOf(id) {
			if len(crashes) >= 3 && r.at.After(crashes[2].Add(contact)) {
				late++
			}
		}
	}
	g.say("%d uploads sent, %d answered 200, %d refused with 503, %d lost or failed; the upload that crashes was sent %d times and crashed %d backends, %d of them later than %v after the third; BUDGET allows %d",
		sent, ok, refused, others, len(poisons), len(crashes), late, contact, retries)
	return late > retries, nil
}
