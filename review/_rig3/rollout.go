package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"
)

// rolloutCase orders a version that fails a part of its requests. Once it is rolled back, the operator orders the corrected version,
// while the backends of the bad one still stand, as they drain some seconds later.
func rolloutCase(g *rig, trouble bool) (bool, error) {
	const (
		count      = 14
		interval   = 4 * time.Millisecond
		duration   = 12 * time.Second
		failShare  = 0.1
		drainAfter = 5 * time.Second
		orderAfter = 500 * time.Millisecond
		exposure   = 0.1
		slack      = 50
		rollback   = 5 * time.Second
	)
	f := &fleet{rig: g}
	defer f.cleanUp()
	sound := func(b *backend) {
		b.setSlots(6)
		b.noisy = true
		b.work = func(*httpRequest) time.Duration { return 90 * time.Millisecond }
	}
	if _, err := f.add(count, "benchdesk", "v1", sound); err != nil {
		return false, err
	}
	g.putConfig(7, []string{"benchdesk"}, route{name: "r-book", host: "bench.example", prefix: "/book/", kind: "unsafe", service: "benchdesk", timeout: time.Second, target: 250 * time.Millisecond, priority: 1})
	if err := g.startEntries(4); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var bad []time.Time
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second+duration+3*time.Second)
	defer cancel()
	status := func() (state, version string) {
		var s struct {
			State   string `json:"state"`
			Version string `json:"target_version"`
		}
		_ = json.Unmarshal(g.store.value("status/rollout/benchdesk"), &s)
		return s.State, s.Version
	}
	var ordered, rolledBack time.Time
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		time.Sleep(3 * time.Second)
		fails := func(b *backend) {
			sound(b)
			b.answer = func(*httpRequest) answer {
				if rand.Float64() < failShare {
					mu.Lock()
					bad = append(bad, time.Now())
					mu.Unlock()
					return answer{500, []byte("v2 fails"), -1}
				}
				return answer{200, []byte("done by " + b.id), -1}
			}
		}
		g.logf("order  benchdesk to v2 within %v", duration)
		g.store.put("op/rollout/benchdesk", map[string]any{"service": "benchdesk", "target_version": "v2", "duration_s": duration.Seconds()})
		ordered = time.Now()
		second, err := f.add(count, "benchdesk", "v2", fails)
		if err != nil {
			g.logf("fault  %v", err)
			return
		}
		for ctx.Err() == nil {
			if state, version := status(); state == "rolled_back" && version == "v2" {
				rolledBack = time.Now()
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		g.logf("status benchdesk to v2 is rolled back")
		if trouble {
			time.Sleep(orderAfter)
			g.logf("order  benchdesk to v3 within %v", duration)
			g.store.put("op/rollout/benchdesk", map[string]any{"service": "benchdesk", "target_version": "v3", "duration_s": duration.Seconds()})
			if _, err := f.add(count, "benchdesk", "v3", sound); err != nil {
				g.logf("fault  %v", err)
			}
		}
		time.Sleep(time.Until(rolledBack.Add(drainAfter)))
		g.logf("drain  the backends of v2")
		for _, b := range second {
			b.drain()
		}
		time.Sleep(4 * time.Second)
		for _, b := range second {
			b.stop()
		}
	}()
	sent, failed := 0, 0
	every(ctx, interval, func() {
		q := &request{id: g.newID(), method: "POST", host: "bench.example", path: "/book/" + g.newID(), body: []byte("slot 4"), remaining: time.Second}
		res := g.send(g.anyEntry(), q)
		mu.Lock()
		defer mu.Unlock()
		sent++
		if res.err != nil || res.status != 200 {
			failed++
		}
	})
	wg.Wait()
	if rolledBack.IsZero() {
		g.say("v2 was not rolled back")
		return false, nil
	}
	limit := ordered.Add(duration)
	reached, atBad, afterBack, late := 0, 0, 0, 0
	g.mu.Lock()
	for _, runs := range g.runs {
		for _, r := range runs {
			if r.at.Before(ordered) || r.at.After(limit) {
				continue
			}
			reached++
			if r.backend.version != "v2" {
				continue
			}
			atBad++
			if r.at.After(rolledBack) {
				afterBack++
			}
			if len(bad) >= slack && r.at.After(bad[slack-1].Add(rollback)) {
				late++
			}
		}
	}
	g.mu.Unlock()
	allowed := int(exposure*float64(reached)) + slack
	g.say("%d requests sent, %d without success; from the order of v2 to its time limit %d reached the service, %d of them v2 (%d after it was rolled back); EXPOSURE allows %d; %d later than %v after the 50th bad answer",
		sent, failed, reached, atBad, afterBack, allowed, late, rollback)
	return atBad > allowed || late > 0, nil
}
