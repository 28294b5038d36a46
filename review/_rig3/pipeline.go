package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// pipelineCase sends pairs of safe requests on kept connections: a page of 128 KB, and behind it a short lookup at another service. Half
// of the backends of the first service break off a few of their answers. The lookup goes to a sound backend and has to be answered.
func pipelineCase(g *rig, trouble bool) (bool, error) {
	const (
		length  = 50 * time.Second
		clients = 40
		share   = 0.02
	)
	f := &fleet{rig: g}
	defer f.cleanUp()
	page := []byte(strings.Repeat("0123456789abcdef", 8<<10))
	faulty := 0
	if _, err := f.add(8, "archive-hall", "v1", func(b *backend) {
		breaks := trouble && faulty%2 == 0
		faulty++
		b.answer = func(r *httpRequest) answer {
			if breaks && g.inTrouble() && rand.Float64() < share {
				g.logf("fault  %s breaks off its answer to %s", b.id, r.Header.Get("Balsamvale-Request-Id"))
				return answer{200, page, len(page) * 3 / 4}
			}
			return answer{200, page, -1}
		}
	}); err != nil {
		return false, err
	}
	if _, err := f.add(8, "stations-desk", "v1", nil); err != nil {
		return false, err
	}
	g.putConfig(7, []string{"archive-hall", "stations-desk"},
		route{name: "r-pages", host: "archive.example", prefix: "/pages/", kind: "safe", service: "archive-hall", timeout: 5 * time.Second, target: 2 * time.Second, priority: 2},
		route{name: "r-lookup", host: "stations.example", prefix: "/lookup/", kind: "safe", service: "stations-desk", timeout: 5 * time.Second, target: time.Second, priority: 2})
	if err := g.startEntries(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var mu sync.Mutex
	pairs, lost := 0, map[string]int{}
	// runPair sends one pair and reports whether the connection can be used again.
	runPair := func(e *entry, c net.Conn, in *bufio.Reader, kept bool) bool {
		first := &request{id: g.newID(), method: "GET", host: "archive.example", path: "/pages/2f", remaining: 5 * time.Second}
		second := &request{id: g.newID(), method: "GET", host: "stations.example", path: "/lookup/2f", remaining: 5 * time.Second}
		begin := time.Now()
		_ = c.SetDeadline(begin.Add(5200 * time.Millisecond))
		g.logf("sent   %s and %s behind it to %s, kept connection: %v", first.id, second.id, e.name, kept)
		if _, err := c.Write(append(first.bytes(), second.bytes()...)); err != nil {
			return false
		}
		var res [2]result
		for i, q := range []*request{first, second} {
			res[i] = readAnswer(in)
			res[i].took = time.Since(begin)
			g.logAnswer(q.id, res[i])
			if res[i].err != nil {
				break
			}
		}
		mu.Lock()
		defer mu.Unlock()
		pairs++
		if res[0].err == nil && res[1].err == nil {
			return true
		}
		if runs := g.runsOf(second.id); kept && len(runs) > 0 && time.Since(begin) < 5*time.Second {
			lost[e.name]++
			g.logf("lost   %s: passed on to %s, and the connection closed without an answer", second.id, runs[0].backend.id)
		}
		return false
	}
	var wg sync.WaitGroup
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				e := g.anyEntry()
				c, err := net.DialTimeout("tcp", e.front, time.Second)
				if err != nil {
					continue
				}
				in := bufio.NewReader(c)
				for kept := false; ctx.Err() == nil && runPair(e, c, in, kept); kept = true {
					time.Sleep(time.Duration(200+rand.IntN(400)) * time.Millisecond)
				}
				_ = c.Close()
			}
		}()
	}
	wg.Wait()
	most, total := 0, 0
	for _, n := range lost {
		most, total = max(most, n), total+n
	}
	g.say("%d pairs sent; %d lookups were passed on to a sound backend and their kept connection closed without an answer (%s), at most %d at one machine; LOST allows 3",
		pairs, total, fmt.Sprint(lost), most)
	return most > 3, nil
}
