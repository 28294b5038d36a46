// Command rig runs the scripted cases of the review: it starts entries as the deploy file does, with stand-ins for the
// platform's store, the backends and the clients.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Results of a case, which are the exit codes of its script.
const (
	held   = 0
	broken = 1
	unable = 2
)

// rig holds what one run of a case has started.
type rig struct {
	root    string
	temp    string
	trouble bool
	store   *store
	entries []*entry
	// version counts the configurations that were written.
	version int

	mu     sync.Mutex
	record *bufio.Writer
	start  time.Time
}

var cases = map[string]func(*rig) int{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		os.Exit(unable)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(unable)
	}
	os.Exit(runCase(run, os.Args[2], os.Args[3]))
}

func runCase(run func(*rig) int, root, record string) (code int) {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	r := &rig{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", record: bufio.NewWriter(f), start: time.Now()}
	defer func() {
		if v := recover(); v != nil {
			r.logf("the case could not run: %v", v)
			fmt.Fprintln(os.Stderr, v)
			code = unable
		}
		for _, e := range r.entries {
			e.kill()
		}
		word := map[int]string{held: "held", broken: "broken", unable: "not run"}[code]
		r.logf("result: %s", word)
		fmt.Println("result:", word)
		r.mu.Lock()
		_ = r.record.Flush()
		_ = f.Close()
		r.mu.Unlock()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(temp)
		}
	}()
	r.store, err = newStore()
	r.must(err)
	r.logf("disruption: %v", r.trouble)
	return run(r)
}

func (r *rig) must(err error) {
	if err != nil {
		panic(err)
	}
}

// logf writes a line to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the output.
func (r *rig) say(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// entry is a process of the project.
type entry struct {
	rig       *rig
	name      string
	front     string
	readiness string
	cmd       *exec.Cmd
	logPath   string
	exited    chan struct{}
	err       error
}

// freePorts returns n ports that were free a moment ago. They lie below the ports that the system gives to connections.
func (r *rig) freePorts(n int) []int {
	var ports []int
	for range 1000 {
		if len(ports) == n {
			return ports
		}
		port := 12000 + rand.IntN(18000)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer ln.Close()
		ports = append(ports, port)
	}
	panic("no free ports")
}

// startEntry starts an entry with the command of the deploy file. With files above 0, the process may have that many
// descriptors.
func (r *rig) startEntry(name string, files int) *entry {
	p := r.freePorts(4)
	settings := filepath.Join(r.temp, name+".conf")
	text := fmt.Sprintf(`node_name=%s
role=entry
machine_class=frontend
serves=frontend
ip=127.0.0.1
zone=zone-a
region=region-a
zones.zone-a=region-a
listen_addresses.frontend=127.0.0.1:%d
listen_addresses.readiness=127.0.0.1:%d
listen_addresses.control=127.0.0.1:%d
internal_port_range=%d,%d
seed_addresses=
bootstrap=true
in_tolerance=false
limits.cpu_share=0.32
limits.cpu_cores=1
limits.memory_mb=284
limits.file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=virtual_ip
heartbeat_interval_ms=1500
contracts=base,drain,config,cost,retry,recover,health,places,rollout,platform
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds=seed_lag_s=3,address_reuse_s=2,contact_ms=3000,ack_timeout_ms=4000,catch_up_s=4,drain_timeout_ms=2000,grace_period_s=6,loss_slack_ms=200,config_apply_ms=2000,regression_ms=250,max_stretch_ms=5000,retry_budget_ratio=0.2,retry_window_s=10,retry_budget_extra=62,exposure_share=0.1,exposure_slack=50,rollback_ms=5000,warmup_factor=1.5,warmup_slack=5,evacuation_ms=5000,recovery_s=15,probes_per_s=60
platform.address=%s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`, name, p[0], p[1], p[2], p[3], p[3]+15, r.store.addr())
	r.must(os.WriteFile(settings, []byte(text), 0o600))
	e := &entry{rig: r, name: name, front: fmt.Sprintf("127.0.0.1:%d", p[0]), readiness: fmt.Sprintf("127.0.0.1:%d", p[1]), exited: make(chan struct{})}
	e.logPath = filepath.Join(r.temp, name+".log")
	out, err := os.Create(e.logPath)
	r.must(err)
	binary := filepath.Join(r.root, "target", "balsamvale")
	e.cmd = exec.Command(binary, "serve", "--platform", settings)
	if files > 0 {
		e.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, files), binary, "serve", "--platform", settings)
	}
	e.cmd.Dir, e.cmd.Stdout, e.cmd.Stderr = r.root, out, out
	r.must(e.cmd.Start())
	r.logf("started %s: balsamvale serve --platform SETTINGS", name)
	r.entries = append(r.entries, e)
	go func() {
		e.err = e.cmd.Wait()
		r.logf("%s has ended: %v", name, e.cmd.ProcessState)
		close(e.exited)
	}()
	return e
}

func (e *entry) running() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

// memory returns the resident memory of the process in bytes, or 0 if it is not known.
func (e *entry) memory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// kill ends the process and waits for its end.
func (e *entry) kill() {
	if !e.running() {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.exited
}

// logTail returns the last lines that the process wrote.
func (e *entry) logTail(n int) string {
	data, _ := os.ReadFile(e.logPath)
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// ready reports whether the entry answers the readiness check with 200.
func (e *entry) ready() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + e.readiness + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (r *rig) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range r.entries {
		for !e.ready() {
			if time.Now().After(deadline) || !e.running() {
				panic(fmt.Sprintf("%s is not ready: %s", e.name, e.logTail(3)))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// route is a route of the configuration. Its host is NAME.example and its prefix /NAME/.
type route struct {
	name    string
	kind    string
	timeout int
	// service is the name of the service if it is not that of the route.
	service string
}

// configure writes the operator's configuration, with the services of its routes.
func (r *rig) configure(routes ...route) {
	r.version++
	var rs, ss []map[string]any
	for _, t := range routes {
		service := t.service
		if service == "" {
			service = t.name
		}
		rs = append(rs, map[string]any{
			"name": "r-" + t.name, "host": t.name + ".example", "path_prefix": "/" + t.name + "/", "kind": t.kind, "timeout_ms": t.timeout,
			"target_latency_ms": t.timeout / 4, "priority": 1, "service": service, "max_attempts": 2,
		})
		ss = append(ss, map[string]any{
			"name": service, "health_check_path": "/health", "connection_limit": 260, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 18.0,
		})
	}
	r.store.put("op/config", map[string]any{"version": 7 + 2*r.version, "routes": rs, "services": ss, "limits": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}})
}

// answer is what a client got for a request: a status, or an error if the connection ended without a whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, signature %q, %d body bytes", a.status, a.header.Get("Balsamvale-Response-Signature"), len(a.body))
}

// request is a request of a client, which is sent as it is and never again by itself.
type request struct {
	id      string
	method  string
	service string
	path    string
	limit   time.Duration
	headers []string
	body    []byte
	chunked bool
}

// head returns the head of the request.
func (q *request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: %s.example\r\nBalsamvale-Request-Id: %s\r\nBalsamvale-Remaining-Milliseconds: %d\r\n", q.method, q.service, q.path, q.service, q.id, q.limit.Milliseconds())
	for _, h := range q.headers {
		b.WriteString(h + "\r\n")
	}
	switch {
	case q.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case q.method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n"
}

// send writes the request to a connection.
func (q *request) send(c net.Conn) error {
	if _, err := io.WriteString(c, q.head()); err != nil {
		return err
	}
	if !q.chunked {
		_, err := c.Write(q.body)
		return err
	}
	for rest := q.body; len(rest) > 0; {
		n := min(len(rest), 16<<10)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", n, rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// receive reads one answer.
func receive(br *bufio.Reader, method string) answer {
	res, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: res.StatusCode, header: res.Header, body: body}
}

// do sends the request on a new connection and waits for the answer until the client's time limit.
func (q *request) do(addr string) answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.limit))
	sent := make(chan error, 1)
	go func() { sent <- q.send(c) }()
	return receive(bufio.NewReader(c), q.method)
}
