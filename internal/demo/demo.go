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
	"google.golang.org/protobuf/proto"

	"github.com/balsamvale/balsamvale/internal/codec"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/internal/stats"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/internal/upsim"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

// ErrDemo is what the errors match about a demo that could not be carried out.
var ErrDemo = eris.New("the demo could not be carried out")

// Demo is one run of a fleet under a bounded load.
type Demo struct {
	// Duration is how long callers make calls.
	Duration time.Duration
	// Fault names what goes wrong after a third of the time; empty for nothing.
	Fault string
	// Entries is the number of entries.
	Entries int
	// Callers is the number of callers, each with one call at a time.
	Callers int
	// Binary is the program whose serve command runs an entry.
	Binary string
	// Logs is where the entries' logs go.
	Logs io.Writer

	clock     clock.Clock
	dir       string
	kv        *kvsim.Server
	kvAddr    netip.AddrPort
	client    *store.Client
	upstreams []*upstream
	entries   []*process
	loadGen   *loadGen
	servers   []*http.Server
	began     time.Time
	port      uint16
}

// upstream is a stand-in upstream with its address and place.
type upstream struct {
	*upsim.Upstream
	addr     netip.AddrPort
	domain   string
	service  string
	listener *blackholeListener
}

// Sizes of the demo.
const (
	lookupUpstreams = 8
	payoutUpstreams = 4
	domains         = 4
	slots           = 4
	callTime        = 2 * time.Millisecond
	warmTime        = time.Second
	readyWait       = 20 * time.Second
	readyPoll       = 50 * time.Millisecond
)

// Run carries the demo out and returns what was seen; errors match ErrDemo.
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
	d.began = d.clock.Now()
	go f.run(ctx, d)
	d.loadGen.runCallers(ctx)
	res := d.loadGen.result()
	f.verifyAfter(d, res)
	d.addUsage(res)
	return res, nil
}

// addUsage ends the entries and adds up what they used.
func (d *Demo) addUsage(r *stats.Summary) {
	var busy time.Duration
	for _, p := range d.entries {
		p.kill()
		if s := p.cmd.ProcessState; s != nil {
			busy += s.UserTime() + s.SystemTime()
			if u, ok := s.SysUsage().(*syscall.Rusage); ok {
				r.MaxMemoryBytes = max(r.MaxMemoryBytes, u.Maxrss<<10)
			}
		}
	}
	r.CPUPerCall = busy / time.Duration(max(1, r.Calls))
}

// start brings up the store, the upstreams, the records and the entries.
func (d *Demo) start(ctx context.Context) error {
	d.kv = kvsim.New(d.clock, 1)
	mux := http.NewServeMux()
	mux.Handle(rpc.NewStoreHandler(d.kv))
	var err error
	if d.kvAddr, _, err = d.listen(mux); err != nil {
		return err
	}
	d.client = store.New(&http.Client{}, []netip.AddrPort{d.kvAddr})
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

// listen serves a handler on a free port.
func (d *Demo) listen(h http.Handler) (netip.AddrPort, *blackholeListener, error) {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, eris.Wrap(ErrDemo, err.Error())
	}
	l := &blackholeListener{Listener: on}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyWait}
	d.servers = append(d.servers, s)
	go (&server{s, l}).run()
	return netip.MustParseAddrPort(on.Addr().String()), l, nil
}

// server serves one listener; its run method is a goroutine.
type server struct {
	http *http.Server
	on   net.Listener
}

func (s *server) run() { _ = s.http.Serve(s.on) }

func (d *Demo) addInitialUpstream(i int) error {
	service, name := "lookup", fmt.Sprintf("lookup-%d", i+1)
	if i >= lookupUpstreams {
		service, name = "payout", fmt.Sprintf("payout-%d", i-lookupUpstreams+1)
	}
	b, err := d.startUpstream(service, name, "v1", i)
	if err != nil {
		return err
	}
	b.SkipWarmup()
	return nil
}

// startUpstream starts a stand-in upstream.
func (d *Demo) startUpstream(service, name, version string, i int) (*upstream, error) {
	b := &upstream{service: service, domain: fmt.Sprintf("zone-%d", i%domains+1)}
	b.Upstream = &upsim.Upstream{
		Name: name, Version: version, Slots: slots, Backlog: 3 * slots, MeanRunTime: callTime,
		ColdConcurrency: 1, Warmup: warmTime, Clock: d.clock,
	}
	b.Start(uint64(len(d.upstreams) + 1))
	addr, l, err := d.listen(b.Upstream)
	if err != nil {
		return nil, err
	}
	b.addr, b.listener = addr, l
	d.upstreams = append(d.upstreams, b)
	return b, nil
}

func upstreamRecord(b *upstream) string {
	return fmt.Sprintf("[[upstream]]\nschema = 1\nname = %q\nservice = %q\ndomain = %q\naddr = %q\nversion = %q\n",
		b.Name, b.service, b.domain, b.addr, b.Version)
}

// recordsTOML writes the operators' records of the demo.
func (d *Demo) recordsTOML() string {
	s := ""
	for i := range domains {
		s += fmt.Sprintf("[[domain]]\nschema = 1\nname = \"zone-%d\"\nregion = \"demo\"\ndelay = \"0s\"\n", i+1)
	}
	for _, name := range []string{"lookup", "payout"} {
		s += fmt.Sprintf("[[service]]\nschema = 2\nname = %q\nslots = %d\nconns = 260\ntimeout = \"1s\"\ncold = 1\nwarm = %q\n", name, slots, warmTime)
	}
	for _, b := range d.upstreams {
		s += upstreamRecord(b)
	}
	return s
}

// ApplyRecords writes records to the store as the apply command does.
func (d *Demo) ApplyRecords(ctx context.Context, text string) error {
	recs, err := codec.ReadRecords("demo", []byte(text))
	if err != nil {
		return eris.Wrap(ErrDemo, err.Error())
	}
	for _, r := range recs {
		data, err := proto.Marshal(r)
		if err != nil {
			return eris.Wrap(ErrDemo, err.Error())
		}
		key := keys.Record(r.GetKind(), r.GetName())
		old, err := d.client.Get(ctx, key)
		if err != nil {
			return eris.Wrap(ErrDemo, err.Error())
		}
		done, _, err := d.client.CompareAndSwap(ctx, item.Item{Key: key, Value: data}, old.Revision, 0)
		if err != nil || !done {
			return eris.Wrapf(ErrDemo, "record %s was not written", key)
		}
	}
	return nil
}

// startEntry runs one entry as a process of its own.
func (d *Demo) startEntry(i int) error {
	var ports [3]netip.AddrPort
	for j := range ports {
		p, err := d.freePort()
		if err != nil {
			return err
		}
		ports[j] = p
	}
	text := fmt.Sprintf("schema = 1\nname = \"entry-%d\"\ndomain = \"zone-%d\"\nfront = %q\npeer = %q\nadmin = %q\nstore = [%q]\n[log]\nsample = 1\n[stop]\nlag = \"1s\"\n",
		i+1, i%domains+1, ports[0], ports[1], ports[2], d.kvAddr)
	file := filepath.Join(d.dir, fmt.Sprintf("entry-%d.toml", i+1))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return eris.Wrap(ErrDemo, err.Error())
	}
	p := &process{name: fmt.Sprintf("entry-%d", i+1), front: ports[0], admin: ports[2], done: make(chan struct{})}
	d.entries = append(d.entries, p)
	return p.start(d.Binary, file, d.Logs)
}

// freePort finds a port below those that outgoing connections take.
func (d *Demo) freePort() (netip.AddrPort, error) {
	for d.port = max(d.port+1, firstPort); d.port < lastPort; d.port++ {
		ap := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), d.port)
		if on, err := net.Listen("tcp", ap.String()); err == nil {
			_ = on.Close()
			return ap, nil
		}
	}
	return netip.AddrPort{}, eris.Wrap(ErrDemo, "no free port")
}

const (
	firstPort = 20000
	lastPort  = 30000
)

// waitReady waits until all entries are ready and every upstream has ended its warm-up.
func (d *Demo) waitReady(ctx context.Context) error {
	until := d.clock.Now().Add(readyWait)
	for _, p := range d.entries {
		for !p.checkReady() {
			if d.clock.Now().After(until) || ctx.Err() != nil {
				return eris.Wrapf(ErrDemo, "%s did not become ready", p.name)
			}
			pause(d.clock, readyPoll)
		}
	}
	pause(d.clock, warmTime+warmTime/2)
	return nil
}

func pause(c clock.Clock, t time.Duration) {
	ch, stop := c.Timer(t)
	defer stop()
	<-ch
}

// close ends what the demo started.
func (d *Demo) close() {
	for _, p := range d.entries {
		p.kill()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}
