package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// earlyAnswer is the length of a whole answer of an early backend, of which a faulty one sends the first half.
const earlyAnswer = 4000

// earlyBackend answers some long uploads at once without a length, sends half of its body and resets the connection.
type earlyBackend struct {
	*backend
	faulty *atomic.Bool
	share  float64
	cut    sync.Map
	whole  sync.Map
}

func newEarlyBackend(st *store, id, zone string, share float64, faulty *atomic.Bool) *earlyBackend {
	b := &earlyBackend{backend: &backend{id: id, service: "desk", zone: zone, version: "v1", st: st, state: "ready", born: time.Now().UnixMilli()}, share: share, faulty: faulty}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable(err)
	}
	b.addr = ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	b.announce()
	go func() {
		for range time.Tick(heartbeat) {
			b.announce()
		}
	}()
	return b
}

func (b *earlyBackend) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBalsamvale-Instance-Id: %s\r\nBalsamvale-Server-Load: 0,0,4\r\nContent-Length: 0\r\n\r\n", b.id)
			continue
		}
		id := r.Header.Get("Balsamvale-Request-Id")
		if r.Header.Get("Balsamvale-Expected-Instance") != b.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nBalsamvale-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			return
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nBalsamvale-Request-Id: %s\r\nBalsamvale-Server-Load: 1,0,4\r\nBalsamvale-Response-Signature: sig.%s\r\n", id, b.id)
		body := content(id, earlyAnswer)
		if b.faulty.Load() && rand.Float64() < b.share {
			b.cut.Store(id, true)
			record("backend %s: runs %s, sends half of its answer and resets the connection", b.id, id)
			fmt.Fprintf(c, "%sConnection: close\r\n\r\n%s", head, body[:earlyAnswer/2])
			time.AfterFunc(2*time.Millisecond, func() { rst(c) })
			_, _ = io.Copy(io.Discard, r.Body)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		time.Sleep(30 * time.Millisecond)
		b.whole.Store(id, true)
		record("backend %s: runs %s", b.id, id)
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, earlyAnswer, body)
	}
}

// early plays backends that answer long uploads at once, send a part and reset the connection.
func early() {
	const (
		uploadBytes = 2_000_000
		timeLimit   = 1200 * time.Millisecond
		spell       = 6 * time.Second
	)
	st := newStore()
	var faulty atomic.Bool
	var bs []*earlyBackend
	for i := range 8 {
		// Five of eight backends spoil four of ten answers: within the share of 0.7 and the part of 0.4 of the site's own days.
		share := 0.0
		if i < 5 {
			share = 0.4
		}
		bs = append(bs, newEarlyBackend(st, fmt.Sprintf("i-%d", i), "abcd"[i%4:i%4+1], share, &faulty))
	}
	st.put("op/config", config(7, []string{"desk"}, route("r-up", "desk.example", "/up/", "upload", "desk", 1200)))
	for _, n := range []string{"front-a-1", "front-b-1", "front-c-1", "front-d-1"} {
		newEntry(st, n, n[6:7])
	}
	awaitReady()
	time.Sleep(time.Second)
	var mu sync.Mutex
	counts := map[string]int{}
	mixed := 0
	var wg sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < spell+6*time.Second; i++ {
		faulty.Store(trouble && time.Since(begin) > 3*time.Second && time.Since(begin) < 3*time.Second+spell)
		time.Sleep(20 * time.Millisecond)
		wg.Add(1)
		go func() {
			defer wg.Done()
			e := entries[i%len(entries)]
			r := upload(e, "desk.example", fmt.Sprintf("/up/%d", i), uploadBytes, false, false, timeLimit)
			cut, whole := false, false
			for _, b := range bs {
				_, x := b.cut.Load(r.id)
				_, y := b.whole.Load(r.id)
				cut, whole = cut || x, whole || y
			}
			mu.Lock()
			defer mu.Unlock()
			counts[fmt.Sprintf("status %d, error %v; cut off by a backend: %v, answered in full by a backend: %v", r.status, r.err, cut, whole)]++
			if r.status == 200 && r.err == nil && r.body != string(content(r.id, earlyAnswer)) {
				mixed++
				record("upload %s by %s: status 200, signature %q, %q, complete with %d of %d bytes; the backend had reset the connection: %v", r.id, e.name,
					r.header.Get("Balsamvale-Response-Signature"), r.header.Get("Balsamvale-Request-Id"), len(r.body), earlyAnswer, cut)
			}
		}()
	}
	wg.Wait()
	for k, n := range counts {
		record("%d uploads: %s", n, k)
	}
	if mixed > 0 {
		finish(1, "MIXED broken: %d answers that ended early looked complete", mixed)
	}
	finish(0, "held")
}
