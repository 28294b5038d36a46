package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// content returns n bytes that follow from a name.
func content(name string, n int) []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	r := rand.New(rand.NewSource(int64(h.Sum64())))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte('a' + r.Intn(26))
	}
	return out
}

// rawBackend is a backend that writes its answers byte by byte, and fails in many ways.
type rawBackend struct {
	*backend
	share float64
	mu2   sync.Mutex
	seen  map[string]*seen
}

type seen struct {
	runs    int
	faults  []string
	problem string
}

func newRawBackend(st *store, id, service, zone string, share float64) *rawBackend {
	b := &backend{id: id, service: service, zone: zone, version: "v1", st: st, state: "ready", born: time.Now().UnixMilli()}
	rb := &rawBackend{backend: b, share: share, seen: map[string]*seen{}}
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
			go rb.serve(c)
		}
	}()
	b.announce()
	go func() {
		for range time.Tick(heartbeat) {
			b.announce()
		}
	}()
	return rb
}

var faultKinds = []string{"cut", "cutchunk", "rstcut", "unframedrst", "extra", "extralate", "rst", "mute", "early200", "early200close", "early503", "garbage", "status000", "hints", "unframed", "earlycut", "500", "503run"}

func (rb *rawBackend) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBalsamvale-Instance-Id: %s\r\nBalsamvale-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", rb.id, rb.load())
			continue
		}
		id := r.Header.Get("Balsamvale-Request-Id")
		if want := r.Header.Get("Balsamvale-Expected-Instance"); want != rb.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected\r\nBalsamvale-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			return
		}
		fault := ""
		if rand.Float64() < rb.share {
			fault = faultKinds[rand.Intn(len(faultKinds))]
			if only := os.Getenv("FAULT"); only != "" {
				fault = only
			}
		}
		if !rb.one(c, r, id, fault) {
			return
		}
	}
}

func (rb *rawBackend) note(id, fault, problem string) {
	rb.mu2.Lock()
	defer rb.mu2.Unlock()
	s := rb.seen[id]
	if s == nil {
		s = &seen{}
		rb.seen[id] = s
	}
	if fault != "early503" {
		s.runs++
	}
	s.faults = append(s.faults, fault)
	if problem != "" {
		s.problem = problem
	}
}

func rst(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// one serves a request and reports whether the connection goes on.
func (rb *rawBackend) one(c net.Conn, r *http.Request, id, fault string) bool {
	// The path is /KIND/REQUEST-BYTES/RESPONSE-BYTES/ID.
	parts := strings.Split(r.URL.Path, "/")
	if len(parts) != 5 {
		rb.note(id, fault, "path "+r.URL.Path)
		return false
	}
	in, _ := strconv.Atoi(parts[2])
	out, _ := strconv.Atoi(parts[3])
	early := strings.HasPrefix(fault, "early")
	body := content("answer "+id, out)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nBalsamvale-Request-Id: %s\r\nBalsamvale-Server-Load: %s\r\nBalsamvale-Response-Signature: sig.%s.%d\r\n", id, rb.load(), id, out)
	if early && in > 0 {
		switch fault {
		case "early503":
			rb.note(id, fault, "")
			fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nBalsamvale-Request-Id: %s\r\nBalsamvale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = io.Copy(io.Discard, r.Body)
			return true
		case "earlycut":
			rb.note(id, fault, "")
			fmt.Fprintf(c, "%s\r\n", head)
			_, _ = c.Write(body[:len(body)/2])
			time.Sleep(10 * time.Millisecond)
			rst(c)
			return false
		case "early200", "early200close":
			rb.note(id, fault, "")
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, out)
			_, _ = c.Write(body)
			if fault == "early200close" {
				return false
			}
			got, err := io.ReadAll(r.Body)
			if err == nil && !bytes.Equal(got, content("body "+id, in)) {
				rb.note(id, fault, fmt.Sprintf("body of %d bytes is not the one sent", len(got)))
			}
			return err == nil
		}
	}
	got, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	problem := ""
	if !bytes.Equal(got, content("body "+id, in)) {
		problem = fmt.Sprintf("body of %d bytes is not the one sent", len(got))
	}
	if r.Host != "shop.example" {
		problem = "host " + r.Host
	}
	if parts[4] != id {
		problem = "path " + r.URL.Path
	}
	rb.note(id, fault, problem)
	time.Sleep(time.Duration(5+rand.Intn(40)) * time.Millisecond)
	if r.Method == "HEAD" {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, out)
		return true
	}
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, out)
	switch fault {
	case "cut":
		_, _ = c.Write(append([]byte(framed), body[:out/2]...))
		return out/2 == out
	case "cutchunk":
		fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", head, out/2+1)
		_, _ = c.Write(content("answer "+id, out/2+1))
		fmt.Fprint(c, "\r\n")
		return false
	case "rstcut":
		_, _ = c.Write(append([]byte(framed), body[:out/2]...))
		time.Sleep(5 * time.Millisecond)
		rst(c)
		return false
	case "unframedrst":
		fmt.Fprintf(c, "%s\r\n", head)
		_, _ = c.Write(body[:out/2])
		time.Sleep(5 * time.Millisecond)
		rst(c)
		return false
	case "unframed":
		fmt.Fprintf(c, "%sConnection: close\r\n\r\n", head)
		_, _ = c.Write(body)
		return false
	case "extra":
		_, _ = c.Write(append([]byte(framed), body...))
		_, _ = c.Write(append([]byte(framed), body...))
		return true
	case "extralate":
		_, _ = c.Write(append([]byte(framed), body...))
		go func() {
			time.Sleep(time.Duration(rand.Intn(60)) * time.Millisecond)
			_, _ = c.Write(append([]byte(framed), body...))
		}()
		return true
	case "rst":
		rst(c)
		return false
	case "mute":
		time.Sleep(3 * time.Second)
		return false
	case "garbage":
		fmt.Fprint(c, "SSH-2.0-x\r\n\x00\x01\x02garbage\r\n\r\n")
		return false
	case "status000":
		_, _ = c.Write(append([]byte(strings.Replace(framed, "200 OK", "000 OK", 1)), body...))
		return true
	case "hints":
		fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
	case "500":
		fmt.Fprint(c, strings.Replace(head, "200 OK", "500 Failed", 1)+"Content-Length: 4\r\n\r\nfail")
		return true
	}
	if rand.Intn(3) == 0 {
		fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		for len(body) > 0 {
			n := min(len(body), 1+rand.Intn(20000))
			fmt.Fprintf(c, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
	_, _ = c.Write(append([]byte(framed), body...))
	return true
}

// sentRequest is a request of the fuzz and its end.
type sentRequest struct {
	id, kind, method string
	in, out          int
	status           int
	problem          string
	closed           bool
	took             time.Duration
	at               time.Time
}

func fuzzRequest(kinds []string) *sentRequest {
	q := &sentRequest{id: newID(), at: time.Now(), kind: kinds[rand.Intn(len(kinds))]}
	outs := []int{0, 100, 5000, 60000, 70000, 300000}
	q.out = outs[rand.Intn(len(outs))]
	q.method = "GET"
	if q.kind != "safe" {
		q.method = []string{"POST", "PUT", "DELETE"}[rand.Intn(3)]
		ins := []int{0, 1000, 100000}
		if q.kind == "upload" {
			ins = []int{100000, 600000, 1500000}
		}
		q.in = ins[rand.Intn(len(ins))]
	} else if rand.Intn(10) == 0 {
		q.method = "HEAD"
	}
	return q
}

func (q *sentRequest) head(chunked, expect bool) string {
	h := fmt.Sprintf("%s /%s/%d/%d/%s HTTP/1.1\r\nHost: shop.example\r\nBalsamvale-Request-Id: %s\r\nBalsamvale-Remaining-Milliseconds: 2000\r\n", q.method, q.kind, q.in, q.out, q.id, q.id)
	switch {
	case chunked && q.in > 0:
		h += "Transfer-Encoding: chunked\r\n"
	case q.method != "GET" && q.method != "HEAD":
		h += fmt.Sprintf("Content-Length: %d\r\n", q.in)
	}
	if expect && q.in > 0 {
		h += "Expect: 100-continue\r\n"
	}
	return h + "\r\n"
}

func (q *sentRequest) writeBody(c net.Conn, chunked bool) {
	data := content("body "+q.id, q.in)
	if !chunked || q.in == 0 {
		_, _ = c.Write(data)
		return
	}
	for len(data) > 0 {
		n := min(len(data), 1+rand.Intn(40000))
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	_, _ = fmt.Fprint(c, "0\r\n\r\n")
}

// read reads the answer of a request and reports whether the connection goes on.
func (q *sentRequest) read(br *bufio.Reader) bool {
	begin := time.Now()
	defer func() { q.took = time.Since(begin) }()
	var res *http.Response
	for {
		var err error
		res, err = http.ReadResponse(br, &http.Request{Method: q.method})
		if err != nil {
			q.closed = true
			if err != io.ErrUnexpectedEOF && err != io.EOF && !strings.Contains(err.Error(), "reset") {
				q.problem = "read: " + err.Error()
			}
			return false
		}
		if res.StatusCode >= 200 {
			break
		}
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		q.closed = true
		return false
	}
	q.status = res.StatusCode
	if q.status/100 == 2 {
		want := content("answer "+q.id, q.out)
		if q.method == "HEAD" {
			want = nil
		}
		switch {
		case res.Header.Get("Balsamvale-Request-Id") != q.id:
			q.problem = "answer of " + res.Header.Get("Balsamvale-Request-Id")
		case res.Header.Get("Balsamvale-Response-Signature") != fmt.Sprintf("sig.%s.%d", q.id, q.out):
			q.problem = "signature " + res.Header.Get("Balsamvale-Response-Signature")
		case !bytes.Equal(data, want):
			q.problem = fmt.Sprintf("body of %d bytes is not the answer of %d", len(data), q.out)
		}
	}
	return !res.Close
}

// fuzz plays all kinds of requests against faulty backends and checks what both ends see.
func fuzz() {
	share := float64(envInt("PERCENT", 10)) / 100
	if !trouble {
		share = 0
	}
	st := newStore()
	var bs []*rawBackend
	for i := range 8 {
		bs = append(bs, newRawBackend(st, fmt.Sprintf("i-%d", i), "desk", "ab"[i%2:i%2+1], share))
	}
	st.put("op/config", config(7, []string{"desk"}, route("r-safe", "shop.example", "/safe/", "safe", "desk", 1500),
		route("r-unsafe", "shop.example", "/unsafe/", "unsafe", "desk", 1500), route("r-up", "shop.example", "/upload/", "upload", "desk", 1800)))
	for _, n := range []string{"front-a-1", "front-b-1", "front-a-2"} {
		newEntry(st, n, n[6:7])
	}
	awaitReady()
	time.Sleep(time.Second)
	var mu sync.Mutex
	var all []*sentRequest
	var wg sync.WaitGroup
	stop := time.Now().Add(time.Duration(envInt("SECONDS_", 30)) * time.Second)
	for w := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(stop) {
				c, err := net.DialTimeout("tcp", entries[w%len(entries)].front, time.Second)
				if err != nil {
					continue
				}
				br := bufio.NewReader(c)
				for going := true; going && time.Now().Before(stop); {
					var group []*sentRequest
					_ = c.SetDeadline(time.Now().Add(20 * time.Second))
					if w%3 == 0 && os.Getenv("ONLY") == "" {
						text := ""
						for range 1 + rand.Intn(12) {
							q := fuzzRequest([]string{"safe"})
							group = append(group, q)
							text += q.head(false, false)
						}
						_, _ = c.Write([]byte(text))
					} else {
						kinds := []string{"safe", "unsafe", "upload"}
						if only := os.Getenv("ONLY"); only != "" {
							kinds = []string{only}
						}
						q := fuzzRequest(kinds)
						chunked, expect := rand.Intn(3) == 0, rand.Intn(6) == 0
						group = append(group, q)
						_, _ = c.Write([]byte(q.head(chunked, expect)))
						go q.writeBody(c, chunked)
					}
					for _, q := range group {
						if !going {
							q.closed = true
						} else {
							going = q.read(br)
						}
					}
					mu.Lock()
					all = append(all, group...)
					mu.Unlock()
				}
				_ = c.Close()
			}
		}()
	}
	if how := os.Getenv("ROLL"); how != "" {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(stop); i++ {
				time.Sleep(time.Second)
				e := entries[i%len(entries)]
				switch how {
				case "term":
					e.signal(syscall.SIGTERM)
					<-e.ended
					record("entry %s ended", e.name)
					e.start()
				case "kill":
					e.kill()
					e.start()
				case "stop":
					e.signal(syscall.SIGSTOP)
					time.Sleep(3 * time.Second)
					e.signal(syscall.SIGCONT)
				case "hup":
					e.signal(syscall.SIGHUP)
				}
				time.Sleep(2 * time.Second)
			}
		}()
	}
	wg.Wait()
	time.Sleep(time.Second)
	counts := map[string]int{}
	for _, q := range all {
		var s seen
		for _, b := range bs {
			b.mu2.Lock()
			if x := b.seen[q.id]; x != nil {
				s.runs += x.runs
				s.faults = append(s.faults, x.faults...)
				if x.problem != "" {
					s.problem = x.problem
				}
			}
			b.mu2.Unlock()
		}
		faulty := ""
		for _, f := range s.faults {
			if f != "" {
				faulty = " with fault"
			}
		}
		end := fmt.Sprintf("%s status %d closed %v%s", q.kind, q.status, q.closed, faulty)
		counts[end]++
		bad := ""
		promised := q.status == 503 || q.status == 429 || q.status == 408 || q.status == 421
		switch {
		case q.problem != "":
			bad = "MIXED " + q.problem
		case s.problem != "":
			bad = "UNASKED " + s.problem
		case q.kind != "safe" && s.runs > 1:
			bad = fmt.Sprintf("TWICE %d runs", s.runs)
		case q.kind != "safe" && promised && s.runs > 0:
			bad = "REFUSED"
		case q.status >= 300 && q.status < 500 && !promised:
			bad = "DENIED"
		case q.closed && faulty == "":
			bad = "LOST"
		case q.took > 2500*time.Millisecond:
			bad = fmt.Sprintf("LATE %v", q.took)
		}
		if bad != "" {
			counts["! "+strings.Fields(bad)[0]]++
			record("%s: at %.3f %s %s %s in %d out %d status %d closed %v faults %q", bad, q.at.Sub(began).Seconds(), q.id, q.method, q.kind, q.in, q.out, q.status, q.closed, s.faults)
		}
	}
	for k, n := range counts {
		record("count %s: %d", k, n)
	}
	keepLogs()
	finish(0, "explored %d requests", len(all))
}
