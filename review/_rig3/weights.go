package main

import (
	"context"
	"sync"
	"time"
)

// weightsCase puts a configuration in force that adds a route, drops another and splits a third. With trouble, the weights of the split
// are not whole numbers.
func weightsCase(g *rig, trouble bool) (bool, error) {
	const (
		length   = 15 * time.Second
		interval = 20 * time.Millisecond
		apply    = 2 * time.Second
	)
	f := &fleet{rig: g}
	defer f.cleanUp()
	services := []string{"tallyview", "reorderdesk"}
	for _, s := range services {
		if _, err := f.add(4, s, "v1", nil); err != nil {
			return false, err
		}
	}
	lookups := func(name, prefix, service string, split ...any) route {
		return route{name: name, host: "shop.example", prefix: prefix, kind: "safe", service: service, split: split, timeout: 800 * time.Millisecond, target: 250 * time.Millisecond, priority: 2}
	}
	part := func(service string, weight any) any { return map[string]any{"service": service, "weight": weight} }
	split := lookups("r-split", "/tally/", "", part("tallyview", 90), part("reorderdesk", 10))
	g.putConfig(7, services, split, lookups("r-old", "/old/", "tallyview"))
	if err := g.startEntries(4); err != nil {
		return false, err
	}
	split.split = []any{part("tallyview", 62), part("reorderdesk", 38)}
	if trouble {
		split.split = []any{part("tallyview", 62.5), part("reorderdesk", 37.5)}
	}
	g.putConfig(12, services, split, lookups("r-new", "/new/", "tallyview"))
	acknowledged := time.Now()
	g.logf("config version 12 is acknowledged: it drops /old/ and adds /new/")
	time.Sleep(apply)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var mu sync.Mutex
	sent, added, dropped, first := 0, 0, 0, 0
	every(ctx, interval, func() {
		for _, path := range []string{"/new/2f", "/old/2f", "/tally/2f"} {
			q := &request{id: g.newID(), method: "GET", host: "shop.example", path: path, remaining: 800 * time.Millisecond}
			res := g.send(g.anyEntry(), q)
			mu.Lock()
			sent++
			switch {
			case path == "/new/2f" && res.status == 200:
				added++
			case path == "/old/2f" && len(g.runsOf(q.id)) > 0:
				dropped++
			case path == "/tally/2f" && res.status == 200:
				first++
			}
			mu.Unlock()
		}
	})
	g.say("%d requests sent from %v to %v after the acknowledgement, a third of them on each route; %d run on the route that was dropped, where CONFIG allows none; %d served on the route that was added, %d on the first route, where CONFIG asks for a quarter at least",
		sent, apply, time.Since(acknowledged).Round(time.Second), dropped, added, first)
	return dropped > 0 || 4*added < first, nil
}
