package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// status returns the state of the rollout of a service that the system has written.
func (s *store) status(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var v struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(s.state.items["status/rollout/"+service].Value, &v)
	return v.State
}

// end stops a backend at once, and its entry goes.
func (b *backend) end() {
	b.silent.Store(true)
	_ = b.server.Close()
	b.st.remove("servers/" + b.id)
	record("backend %s has ended", b.id)
}

// again plays a completed rollout whose order the operator writes again after the store was restored.
func again() {
	st := newStore()
	var old []*backend
	for i, zone := range []string{"a", "b", "a", "b"} {
		old = append(old, newBackend(st, fmt.Sprintf("i-old%d", i), "desk", zone, 20*time.Millisecond))
		newBackend(st, fmt.Sprintf("i-book%d", i), "book", zone, 20*time.Millisecond)
	}
	first := route("r-book", "shop.example", "/book/", "unsafe", "book", 1000)
	added := route("r-desk", "shop.example", "/desk/", "unsafe", "desk", 1000)
	st.put("op/config", config(7, []string{"desk", "book"}, first))
	for _, n := range []string{"front-a-1", "front-b-1", "front-a-2", "front-b-2"} {
		newEntry(st, n, n[6:7])
	}
	awaitReady()
	time.Sleep(time.Second)
	latest := config(9, []string{"desk", "book"}, first, added)
	st.put("op/config", latest)
	record("operator: version 9 adds the route /desk/")
	time.Sleep(3 * time.Second)
	load := keepSending(20*time.Millisecond, "POST", "shop.example", "/desk/1", "x", time.Second)
	other := keepSending(20*time.Millisecond, "POST", "shop.example", "/book/1", "x", time.Second)
	time.Sleep(2 * time.Second)
	older := st.copyState()
	record("operator: the store is copied at revision %d", older.revision)
	time.Sleep(1500 * time.Millisecond)
	order := map[string]any{"service": "desk", "target_version": "v2", "duration_s": 6}
	st.put("op/rollout/desk", order)
	record("operator: rollout of desk to v2 in 6 s ordered at revision %d", st.copyState().revision)
	for i, zone := range []string{"a", "b", "a", "b"} {
		b := newBackend(st, fmt.Sprintf("i-new%d", i), "desk", zone, 20*time.Millisecond)
		b.mu.Lock()
		b.version = "v2"
		b.mu.Unlock()
		b.announce()
	}
	for until := time.Now().Add(12 * time.Second); st.status("desk") != "completed"; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			unable(fmt.Errorf("the rollout is not completed, but %q", st.status("desk")))
		}
	}
	record("store: status of the rollout is completed")
	for _, b := range old {
		b.end()
	}
	time.Sleep(500 * time.Millisecond)
	backAt := time.Now()
	if trouble {
		st.stop()
		record("store: away")
		time.Sleep(500 * time.Millisecond)
		st.restart(&older)
		st.put("op/config", latest)
		st.put("op/rollout/desk", order)
		backAt = time.Now()
		record("store: back from the copy, era 1; the operator has written again, the order at revision %d", st.copyState().revision)
	}
	last := ""
	for until := time.Now().Add(16 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if s := st.status("desk"); s != last {
			record("store: status of the rollout is %q", s)
			last = s
		}
	}
	// From contact_ms after the end of the disruption, the core is stable and the machines are in touch.
	from := backAt.Add(3 * time.Second)
	type bin struct{ sent, served int }
	count := func(results []result) map[int]bin {
		out := map[int]bin{}
		for _, r := range results {
			if r.sent.Before(from) {
				continue
			}
			k := int(r.sent.Sub(from) / time.Second)
			b := out[k]
			b.sent++
			if r.status == 200 {
				b.served++
			}
			out[k] = b
		}
		return out
	}
	desk, book := count(load.end()), count(other.end())
	broken := 0
	for k := range 12 {
		d, b := desk[k], book[k]
		record("second %d after the core is stable: /desk/ %d of %d served, /book/ %d of %d", k, d.served, d.sent, b.served, b.sent)
		if d.sent >= 20 && b.sent > 0 && 4*float64(d.served)/float64(d.sent) < float64(b.served)/float64(b.sent) {
			broken++
		}
	}
	keepLogs()
	if broken > 0 {
		finish(1, "CONFIG broken: in %d seconds a route that was added later was served less than a quarter as often as the first", broken)
	}
	finish(0, "held")
}

// promise plays a backend that fails part of its requests with a status that callers take for a promise.
func promise() {
	st := newStore()
	for i := range 8 {
		b := newBackend(st, fmt.Sprintf("i-%d", i), "desk", "ab"[i%2:i%2+1], 40*time.Millisecond)
		if i == 0 && trouble {
			b.answer = failSome(envInt("STATUS", 503))
		}
	}
	st.put("op/config", config(7, []string{"desk"}, route("r-book", "desk.example", "/book/", "unsafe", "desk", 1000)))
	for _, n := range []string{"front-a-1", "front-b-1", "front-a-2", "front-b-2"} {
		newEntry(st, n, n[6:7])
	}
	awaitReady()
	time.Sleep(time.Second)
	load := keepSending(10*time.Millisecond, "POST", "desk.example", "/book/1", "x", time.Second)
	time.Sleep(15 * time.Second)
	results := load.end()
	ran := map[string]bool{}
	for _, b := range backends {
		for _, r := range b.taken() {
			ran[r.id] = true
		}
	}
	refused := 0
	for _, r := range results {
		if (r.status == 503 || r.status == 429 || r.status == 408) && ran[r.id] {
			refused++
			record("request %s was answered %d and has run", r.id, r.status)
		}
	}
	record("sent %d", len(results))
	if refused > 0 {
		finish(1, "REFUSED broken: %d requests were answered with a promise that they have not run, but ran", refused)
	}
	finish(0, "held")
}
