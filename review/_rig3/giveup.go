package main

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// giveUpCase sends pairs of safe requests, the second with a body. A part of the clients close their connection before the first answer.
// No backend may be at work for them half a second later, nor get the second request then.
func giveUpCase(g *rig, trouble bool) (bool, error) {
	const (
		length   = 40 * time.Second
		interval = 100 * time.Millisecond
		work     = 1500 * time.Millisecond
		leaving  = 0.3
		patience = 300 * time.Millisecond
		grace    = 500 * time.Millisecond
		few      = 10
	)
	f := &fleet{rig: g}
	defer f.cleanUp()
	if _, err := f.add(16, "tallyview", "v1", func(b *backend) { b.work = func(*httpRequest) time.Duration { return work } }); err != nil {
		return false, err
	}
	g.putConfig(7, []string{"tallyview"}, route{name: "r-tally", host: "tally.example", prefix: "/tally/", kind: "safe", service: "tallyview", timeout: 5 * time.Second, target: 2 * time.Second, priority: 2})
	if err := g.startEntries(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var mu sync.Mutex
	// left holds when the clients of requests have left.
	left := map[string]time.Time{}
	pairs, answered := 0, 0
	every(ctx, interval, func() {
		e := g.anyEntry()
		c, err := net.DialTimeout("tcp", e.front, time.Second)
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		first := &request{id: g.newID(), method: "GET", host: "tally.example", path: "/tally/" + g.newID(), remaining: 5 * time.Second}
		second := &request{id: g.newID(), method: "POST", host: "tally.example", path: "/tally/query", body: []byte("from=" + first.id), remaining: 5 * time.Second}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		g.logf("sent   %s and %s behind it to %s", first.id, second.id, e.name)
		if _, err := c.Write(append(first.bytes(), second.bytes()...)); err != nil {
			return
		}
		mu.Lock()
		pairs++
		mu.Unlock()
		if trouble && g.inTrouble() && rand.Float64() < leaving {
			time.Sleep(patience)
			_ = c.Close()
			g.logf("left   the client of %s and %s has closed its connection", first.id, second.id)
			mu.Lock()
			left[first.id], left[second.id] = time.Now(), time.Now()
			mu.Unlock()
			return
		}
		in := bufio.NewReader(c)
		for _, q := range []*request{first, second} {
			res := readAnswer(in)
			g.logAnswer(q.id, res)
			if res.err != nil {
				return
			}
			mu.Lock()
			answered++
			mu.Unlock()
		}
	})
	time.Sleep(4 * time.Second)
	g.mu.Lock()
	reached, lasting, atWork := 0, 0, 0
	for id, at := range left {
		for _, r := range g.runs[id] {
			if r.at.After(at.Add(grace)) {
				reached++
				continue
			}
			// It would have lasted for more than the grace after its client had left.
			if r.at.Add(work).After(at.Add(grace)) {
				lasting++
				if g.ends[id].IsZero() || g.ends[id].After(at.Add(grace)) {
					atWork++
				}
			}
		}
	}
	g.mu.Unlock()
	g.say("%d pairs, %d answers; %d requests of clients that had left reached a backend over %v later; of %d that would have lasted so long, backends were still at work on %d; GONE allows a few and a quarter",
		pairs, answered, reached, grace, lasting, atWork)
	return reached > few || 4*atWork > lasting, nil
}
