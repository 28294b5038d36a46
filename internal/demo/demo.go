package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/apply"
	"github.com/balsamvale/balsamvale/internal/build"
	"github.com/balsamvale/balsamvale/internal/child"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/internal/ports"
	"github.com/balsamvale/balsamvale/internal/redial"
	"github.com/balsamvale/balsamvale/internal/relay"
	"github.com/balsamvale/balsamvale/internal/stats"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/internal/upsim"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// ErrDemo is matched by the errors of a demo that could not run.
var ErrDemo = eris.New("the demo could not run")

// Demo is one run of a store, upstreams and entries under the load of a fixed number of callers.
type Demo struct {
	// Duration is how long the callers make calls.
	Duration time.Duration
	// Fault is the name of the fault to inject after a third of Duration, empty for none.
	Fault string
	// Entries is the number of entries.
	Entries int
	// Callers is the number of callers, each of which makes one call at a time.
	Callers int
	// Binary is the path of the program whose serve command runs an entry.
	Binary string
	// Logs receives what the entries write to standard error.
	Logs io.Writer

	clock     clock.Clock
	dir       string
	kv        *kvsim.Server
	kvAddr    netip.AddrPort
	client    *store.Client
	upstreams []*upstream
	entries   []*child.Process
	loadGen   *loadGen
	servers   []*http.Server
	// startTime is when the callers started.
	startTime time.Time
	ports     ports.Finder
}

// upstream is a simulated upstream with its address, failure domain and service.
type upstream struct {
	*upsim.Upstream
	addr    netip.AddrPort
	domain  string
	service string
	// relay is nil without the fault that silences connections.
	relay *relay.Relay
}

// Size and timing of the demo.
const (
	lookupUpstreams   = 8
	payoutUpstreams   = 4
	domainCount       = 4
	slotsPerUpstream  = 4
	meanRunTime       = 2 * time.Millisecond
	warmup            = time.Second
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// Run starts everything, runs the callers and the fault, and returns the summary; errors match ErrDemo.
func (d *Demo) Run(ctx context.Context) (*stats.Summary, error) {
	d.clock = clock.Wall()
	dir, err := os.MkdirTemp("", "balsamvale-demo-")
	if err != nil {
		return nil, eris.Wrap(ErrDemo, err.Error())
	}
	d.dir = dir
	defer func() { _ = os.RemoveAll(dir) }()
	defer d.close()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	f, err := findFault(d.Fault)
	if err != nil {
		return nil, err
	}
	d.loadGen = newLoadGen(d)
	d.startTime = d.clock.Now()
	go f.run(ctx, d)
	d.loadGen.runCallers(ctx)
	res := d.loadGen.result()
	f.awaitAndVerify(d, res)
	d.addUsage(res)
	program := build.New()
	program.UseFile(d.Binary)
	program.UseSettings(d.settingsFile(0))
	res.Program = program.String()
	return res, nil
}

// addUsage kills the entries and adds their CPU time and memory to the summary.
func (d *Demo) addUsage(r *stats.Summary) {
	var cpuTime time.Duration
	for _, p := range d.entries {
		p.Kill()
		if s := p.State(); s != nil {
			cpuTime += s.UserTime() + s.SystemTime()
			if u, ok := s.SysUsage().(*syscall.Rusage); ok {
				r.MaxMemoryBytes = max(r.MaxMemoryBytes, u.Maxrss<<10)
			}
		}
	}
	r.CPUPerCall = cpuTime / time.Duration(max(1, r.Calls))
}

// start starts the store and the upstreams, writes the records, starts the entries and waits until they are ready.
func (d *Demo) start(ctx context.Context) error {
	d.kv = kvsim.New(d.clock, 1)
	mux := http.NewServeMux()
	mux.Handle(rpc.NewStoreHandler(d.kv))
	var err error
	if d.kvAddr, err = d.listen(mux); err != nil {
		return err
	}
	d.client = store.New(clock.Wall(), &http.Client{Transport: redial.New(tune.StoreConnIdle)}, []netip.AddrPort{d.kvAddr})
	for i := range lookupUpstreams + payoutUpstreams {
		if err := d.addInitialUpstream(i); err != nil {
			return err
		}
	}
	if err := d.ApplyRecords(ctx, d.recordsTOML()); err != nil {
		return err
	}
	for i := range d.Entries {
		if err := d.startEntry(i); err != nil {
			return err
		}
	}
	return d.waitReady(ctx)
}

// listen serves a handler on a free loopback port and returns its address.
func (d *Demo) listen(h http.Handler) (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(ErrDemo, err.Error())
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	d.servers = append(d.servers, s)
	go (&server{s, ln}).run()
	return netip.MustParseAddrPort(ln.Addr().String()), nil
}

// server serves HTTP on one listener; its run method is a goroutine.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (s *server) run() { _ = s.http.Serve(s.listener) }

// addInitialUpstream starts upstream i of version v1, already warm: the first lookupUpstreams serve lookup, the others payout.
func (d *Demo) addInitialUpstream(i int) error {
	service, name := "lookup", fmt.Sprintf("lookup-%d", i+1)
	if i >= lookupUpstreams {
		service, name = "payout", fmt.Sprintf("payout-%d", i-lookupUpstreams+1)
	}
	u, err := d.startUpstream(service, name, "v1", i)
	if err != nil {
		return err
	}
	u.SkipWarmup()
	return nil
}

// startUpstream starts a simulated upstream; i determines its failure domain.
func (d *Demo) startUpstream(service, name, version string, i int) (*upstream, error) {
	u := &upstream{service: service, domain: fmt.Sprintf("zone-%d", i%domainCount+1)}
	u.Upstream = &upsim.Upstream{
		Name: name, Version: version, Slots: slotsPerUpstream, Backlog: 3 * slotsPerUpstream, MeanRunTime: meanRunTime,
		ColdConcurrency: 1, Warmup: warmup, Clock: d.clock,
	}
	u.Start(uint64(len(d.upstreams) + 1))
	var err error
	if u.addr, err = d.listen(u.Upstream); err != nil {
		return nil, err
	}
	if d.Fault == silentConnection {
		if u.relay, err = relay.New(d.clock, u.addr); err != nil {
			return nil, eris.Wrap(ErrDemo, err.Error())
		}
		u.addr = u.relay.Addr()
	}
	d.upstreams = append(d.upstreams, u)
	return u, nil
}

// upstreamRecord returns the record of an upstream as TOML.
func upstreamRecord(u *upstream) string {
	return fmt.Sprintf("[[upstream]]\nschema = 1\nname = %q\nservice = %q\ndomain = %q\naddr = %q\nversion = %q\n",
		u.Name, u.service, u.domain, u.addr, u.Version)
}

// recordsTOML returns the records of the domains, services and upstreams as TOML.
func (d *Demo) recordsTOML() string {
	s := ""
	for i := range domainCount {
		s += fmt.Sprintf("[[domain]]\nschema = 1\nname = \"zone-%d\"\nregion = \"demo\"\ndelay = \"0s\"\n", i+1)
	}
	for _, name := range []string{"lookup", "payout"} {
		s += fmt.Sprintf("[[service]]\nschema = 2\nname = %q\nslots = %d\nconns = 260\ntimeout = \"1s\"\ncold = 1\nwarm = %q\n", name, slotsPerUpstream, warmup)
	}
	for _, u := range d.upstreams {
		s += upstreamRecord(u)
	}
	return s
}

// ApplyRecords writes the records of a TOML text to the store; errors match ErrDemo.
func (d *Demo) ApplyRecords(ctx context.Context, text string) error {
	if _, err := apply.Text(ctx, d.client, text); err != nil {
		return eris.Wrap(ErrDemo, err.Error())
	}
	return nil
}

// settingsFile returns the name of the settings file of an entry.
func (d *Demo) settingsFile(i int) string {
	return filepath.Join(d.dir, fmt.Sprintf("entry-%d.toml", i+1))
}

// startEntry writes the settings of one entry and starts it as a process of its own.
func (d *Demo) startEntry(i int) error {
	var addrs [3]netip.AddrPort
	for j := range addrs {
		addr, err := d.ports.Next()
		if err != nil {
			return eris.Wrap(ErrDemo, err.Error())
		}
		addrs[j] = addr
	}
	settings := fmt.Sprintf("schema = 1\nname = \"entry-%d\"\ndomain = \"zone-%d\"\nfront = %q\npeer = %q\nadmin = %q\nstore = [%q]\n[log]\nsample = 1\n[stop]\nlag = \"1s\"\n",
		i+1, i%domainCount+1, addrs[0], addrs[1], addrs[2], d.kvAddr)
	file := d.settingsFile(i)
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return eris.Wrap(ErrDemo, err.Error())
	}
	p := &child.Process{Name: fmt.Sprintf("entry-%d", i+1), Front: addrs[0], Admin: addrs[2], Stderr: d.Logs}
	d.entries = append(d.entries, p)
	if err := p.Start(d.Binary, file); err != nil {
		return eris.Wrap(ErrDemo, err.Error())
	}
	return nil
}

// waitReady waits until all entries are ready and the warm-up time of the upstreams has passed.
func (d *Demo) waitReady(ctx context.Context) error {
	deadline := d.clock.Now().Add(readyTimeout)
	for _, p := range d.entries {
		for !p.CheckReady() {
			if d.clock.Now().After(deadline) || ctx.Err() != nil {
				return eris.Wrapf(ErrDemo, "%s did not become ready", p.Name)
			}
			sleep(d.clock, readyPollInterval)
		}
	}
	sleep(d.clock, warmup+warmup/2)
	return nil
}

// sleep blocks for t on the given clock.
func sleep(c clock.Clock, t time.Duration) {
	ch, stop := c.Timer(t)
	defer stop()
	<-ch
}

// close kills the entries and closes the servers.
func (d *Demo) close() {
	for _, p := range d.entries {
		p.Kill()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}
