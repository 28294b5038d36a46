package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// run is one run of a request at a backend.
type run struct {
	id      string
	backend *backend
	at      time.Time
	bytes   int64
	hash    uint64
}

// rig holds what a case has started.
type rig struct {
	bin     string
	dir     string
	start   time.Time
	store   *store
	entries []*entry
	// ports holds the ports that were given to entries.
	ports map[int]bool

	mu     sync.Mutex
	record *bufio.Writer
	runs   map[string][]run
	// ends holds when the last run of each request has ended.
	ends map[string]time.Time
	ids  atomic.Int64
}

// logf writes a line to the record.
func (g *rig) logf(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fmt.Fprintf(g.record, "%8.3f ", time.Since(g.start).Seconds())
	fmt.Fprintf(g.record, format, args...)
	_ = g.record.WriteByte('\n')
}

func (g *rig) noteRun(r run) {
	g.mu.Lock()
	g.runs[r.id] = append(g.runs[r.id], r)
	g.mu.Unlock()
	g.logf("run    %s by %s (%s %s), body %d bytes, hash %x", r.id, r.backend.id, r.backend.service, r.backend.version, r.bytes, r.hash)
}

func (g *rig) noteEnd(id, how string) {
	g.mu.Lock()
	g.ends[id] = time.Now()
	g.mu.Unlock()
	g.logf("end    %s: %s", id, how)
}

// runsOf returns the runs of a request.
func (g *rig) runsOf(id string) []run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]run(nil), g.runs[id]...)
}

// entry is one process of the project.
type entry struct {
	name  string
	front string
	ready string
	cmd   *exec.Cmd
	done  chan struct{}
}

// Programs that run side by side take the ports of their entries from different blocks, since a port is free again until its entry
// listens.
const firstPort, blockSize, blockCount = 20000, 200, 60

// A port may be given to an outgoing connection before its entry listens; the entry then exits at once and is started with other ports.
const maxStarts, startTime = 8, 300 * time.Millisecond

// freePort returns a loopback port that is free now and was not returned before.
func (g *rig) freePort() (int, error) {
	for range 100 {
		port := firstPort + os.Getpid()%blockCount*blockSize + rand.IntN(blockSize)
		if g.ports[port] {
			continue
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		g.ports[port] = true
		return port, ln.Close()
	}
	return 0, errors.New("no free port")
}

// bounds are those of the small deployments.
const bounds = "seed_lag_s=3,address_reuse_s=2,contact_ms=3000,ack_timeout_ms=4000,catch_up_s=4,drain_timeout_ms=2000,grace_period_s=6,loss_slack_ms=200,config_apply_ms=2000,regression_ms=250,max_stretch_ms=5000,retry_budget_ratio=0.2,retry_window_s=10,retry_budget_extra=62,exposure_share=0.1,exposure_slack=50,rollback_ms=5000,warmup_factor=1.5,warmup_slack=5,evacuation_ms=5000,recovery_s=15,probes_per_s=60"

// zones are those of the deployment.
var zones = []string{"ibadan-ring", "ikeja-yard", "abeokuta-lab", "oshogbo-bay"}

// startEntry starts an entry, which runs on for startTime at least.
func (g *rig) startEntry() error {
	for range maxStarts {
		e, err := g.startProcess()
		if err != nil {
			return err
		}
		select {
		case <-e.done:
			g.logf("start  %s has exited, as a port was taken meanwhile", e.name)
		case <-time.After(startTime):
			g.entries = append(g.entries, e)
			return nil
		}
	}
	return errors.New("no entry stays up")
}

// startProcess starts the process of the next entry with the command of the deploy file.
func (g *rig) startProcess() (*entry, error) {
	i := len(g.entries)
	name, zone := fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i/len(zones)+1), zones[i%len(zones)]
	var ports [4]int
	for i := range ports {
		var err error
		if ports[i], err = g.freePort(); err != nil {
			return nil, err
		}
	}
	front, ready, control, peer := ports[0], ports[1], ports[2], ports[3]
	var b bytes.Buffer
	fmt.Fprintf(&b, "node_name=%s\nrole=entry\nmachine_class=frontend\nserves=frontend,control\nip=127.0.0.1\nzone=%s\nregion=ng-southwest\n", name, zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "zones.%s=ng-southwest\n", z)
	}
	fmt.Fprintf(&b, "listen_addresses.frontend=127.0.0.1:%d\nlisten_addresses.readiness=127.0.0.1:%d\nlisten_addresses.control=127.0.0.1:%d\n", front, ready, control)
	fmt.Fprintf(&b, "internal_port_range=%d,%d\nseed_addresses=127.0.0.1:%d\nbootstrap=true\nin_tolerance=false\n", peer, peer, control)
	b.WriteString("limits.cpu_share=0.32\nlimits.cpu_cores=1\nlimits.memory_mb=284\nlimits.file_descriptors=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n")
	b.WriteString("discovery=platform\nentry=virtual_ip\nheartbeat_interval_ms=1500\ncontracts=base,drain,config,cost,retry,recover,health,places,rollout,platform\n")
	b.WriteString("fault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0\nbounds=" + bounds + "\n")
	fmt.Fprintf(&b, "platform.address=%s\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n", g.store.addr)
	settings := filepath.Join(g.dir, name+".conf")
	if err := os.WriteFile(settings, b.Bytes(), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(g.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(g.bin, "serve", "--platform", settings)
	cmd.Env = append(os.Environ(), "BALSAMVALE_BOOT="+settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	e := &entry{name: name, front: fmt.Sprintf("127.0.0.1:%d", front), ready: fmt.Sprintf("127.0.0.1:%d", ready), cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(e.done)
	}()
	g.logf("start  %s as process %d, clients at %s", name, cmd.Process.Pid, e.front)
	return e, nil
}

// awaitReady waits until all entries are ready.
func (g *rig) awaitReady() error {
	for _, e := range g.entries {
		for until := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if res, err := http.Get("http://" + e.ready + "/ready"); err == nil {
				_ = res.Body.Close()
				if res.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", e.name)
			}
		}
	}
	return nil
}

// stopEntries ends the processes that the case has started.
func (g *rig) stopEntries() {
	for _, e := range g.entries {
		_ = e.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, e := range g.entries {
		select {
		case <-e.done:
		case <-time.After(7 * time.Second):
			_ = e.cmd.Process.Kill()
			<-e.done
		}
	}
}

// request is one attempt of a client.
type request struct {
	id, method, host, path string
	body                   []byte
	chunked                bool
	remaining              time.Duration
}

// result is what a client saw of a request.
type result struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

func (g *rig) newID() string { return fmt.Sprintf("%08x%08x", g.ids.Add(1), rand.Uint32()) }

// bytes returns the request as it is sent.
func (q *request) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nBalsamvale-Request-Id: %s\r\nBalsamvale-Remaining-Milliseconds: %d\r\n", q.method, q.path, q.host, q.id, q.remaining.Milliseconds())
	switch {
	case q.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for p := q.body; len(p) > 0; {
			n := min(len(p), 16<<10)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, p[:n])
			p = p[n:]
		}
		b.WriteString("0\r\n\r\n")
	case len(q.body) > 0 || q.method == "POST":
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

func hashOf(p []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(p)
	return h.Sum64()
}

// send sends a request on a new connection and reads the answer.
func (g *rig) send(e *entry, q *request) result {
	begin := time.Now()
	g.logf("sent   %s to %s: %s %s%s, body %d bytes, hash %x", q.id, e.name, q.method, q.host, q.path, len(q.body), hashOf(q.body))
	res := func() result {
		c, err := net.DialTimeout("tcp", e.front, time.Second)
		if err != nil {
			return result{err: err}
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(begin.Add(q.remaining + 200*time.Millisecond))
		wrote := make(chan struct{})
		go func() {
			defer close(wrote)
			_, _ = c.Write(q.bytes())
		}()
		out := readAnswer(bufio.NewReader(c))
		_ = c.Close()
		<-wrote
		return out
	}()
	res.took = time.Since(begin)
	g.logAnswer(q.id, res)
	return res
}

func (g *rig) logAnswer(id string, res result) {
	if res.err != nil {
		g.logf("answer %s: none, after %v: %v", id, res.took.Round(time.Millisecond), res.err)
		return
	}
	text := ""
	if res.status >= 400 && len(res.body) < 200 {
		text = fmt.Sprintf(", %q", res.body)
	}
	g.logf("answer %s: %d after %v, signature %q, %d bytes%s", id, res.status, res.took.Round(time.Millisecond), res.header.Get("Balsamvale-Response-Signature"), len(res.body), text)
}

// readAnswer reads one answer.
func readAnswer(in *bufio.Reader) result {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return result{err: fmt.Errorf("the answer breaks off after %d bytes: %w", len(body), err)}
	}
	return result{status: res.StatusCode, header: res.Header, body: body}
}

// anyEntry returns an entry at random.
func (g *rig) anyEntry() *entry { return g.entries[rand.IntN(len(g.entries))] }

// every calls f at a steady rate until ctx is done, each call in a goroutine, and waits for all.
func every(ctx context.Context, interval time.Duration, f func()) {
	var wg sync.WaitGroup
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			wg.Add(1)
			go func() { defer wg.Done(); f() }()
		case <-ctx.Done():
			wg.Wait()
			return
		}
	}
}
