package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/apply"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/internal/ports"
	"github.com/balsamvale/balsamvale/internal/redial"
	"github.com/balsamvale/balsamvale/internal/soak/caller"
	"github.com/balsamvale/balsamvale/internal/soak/check"
	"github.com/balsamvale/balsamvale/internal/soak/plan"
	"github.com/balsamvale/balsamvale/internal/soak/trail"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// ErrFleet is matched by the errors of a fleet that could not be started.
var ErrFleet = eris.New("the fleet could not be started")

// Sizes and times of a fleet.
const (
	domainCount         = 3
	upstreamsPerService = 4
	slotsPerUpstream    = 8
	meanRunTime         = 60 * time.Millisecond
	warmup              = time.Second
	readyTimeout        = 20 * time.Second
	pollInterval        = 50 * time.Millisecond
	// Timeout is the timeout of the services that have one.
	Timeout = 2 * time.Second
)

// Services are the services of a fleet.
var Services = []caller.Service{
	{Name: "lookup", Kind: trail.Idempotent}, {Name: "tally", Kind: trail.Idempotent},
	{Name: "order", Kind: trail.Once}, {Name: "payout", Kind: trail.Once},
	{Name: "archive", Kind: trail.Upload}, {Name: "capture", Kind: trail.Upload},
}

// Fleet is a store, upstreams and entries.
type Fleet struct {
	Clock  clock.Clock
	Trail  *trail.Trail
	Plan   *plan.Plan
	Crowd  *caller.Crowd
	Binary string
	// Dir is the directory of settings and logs.
	Dir string

	ports    ports.Finder
	kv       *kvsim.Server
	kvAddr   netip.AddrPort
	kvServer *http.Server
	client   *store.Client
	faults   sync.WaitGroup
	// done is closed when the fleet closes.
	done chan struct{}
	// domainText and serviceText are the records of domains and upstreams, and of services, at the begin.
	domainText  string
	serviceText string
	// starting is held while an entry is added or retires, growing while the configuration grows.
	starting sync.Mutex
	growing  sync.Mutex
	// grown are the upstreams of the services that were added, and growths the number of times that there were some.
	grown   []*upstream
	growths int

	// mu guards the fields below.
	mu        sync.Mutex
	entries   []*entry
	upstreams []*upstream
	rand      *rand.Rand
	// changing holds the names of the records that a fault has changed and will restore.
	changing map[string]bool
}

// Start starts everything and waits until all entries are ready; errors match ErrFleet.
func (f *Fleet) Start(ctx context.Context) error {
	f.ports.Host = ownHost()
	f.rand, f.changing = rand.New(rand.NewPCG(f.Plan.Seed, 3)), map[string]bool{}
	f.kv = kvsim.New(f.Clock, f.Plan.Seed)
	f.kv.Written, f.kv.Rewrite = f.recordChange, f.relayPeer
	mux := http.NewServeMux()
	mux.Handle(rpc.NewStoreHandler(f.kv))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(ErrFleet, err.Error())
	}
	f.kvAddr = netip.MustParseAddrPort(ln.Addr().String())
	f.kvServer = &http.Server{Handler: mux, ReadHeaderTimeout: readyTimeout}
	go (&server{f.kvServer, ln}).run()
	f.client = store.New(clock.Wall(), &http.Client{Transport: redial.New(tune.StoreConnIdle)}, []netip.AddrPort{f.kvAddr})
	f.domainText, f.serviceText = f.domainsTOML(), servicesTOML()
	for _, s := range Services {
		for i := range upstreamsPerService {
			u, err := f.startUpstream(s, fmt.Sprintf("%s-%d", s.Name, i+1), "v1", i%domainCount)
			if err != nil {
				return err
			}
			u.SkipWarmup()
			f.domainText += u.record()
		}
	}
	if err := f.startGrown(); err != nil {
		return err
	}
	late := f.uses(plan.LateRecords)
	if !late {
		if _, err := apply.Text(ctx, f.client, f.domainText+f.serviceText); err != nil {
			return eris.Wrap(ErrFleet, err.Error())
		}
	}
	for range f.Plan.Size {
		if _, err := f.startEntry(); err != nil {
			return err
		}
	}
	if !late {
		if err := f.awaitReady(ctx); err != nil {
			return err
		}
	}
	f.startPolls()
	return nil
}

// ownHost returns a loopback address of this process alone, so that soaks that run at the same time do not take each other's ports.
func ownHost() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + pid>>16), byte(pid >> 8), byte(pid)})
}

// server serves HTTP on one listener; its run method is a goroutine.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (s *server) run() { _ = s.http.Serve(s.listener) }

func domainName(i int) string { return fmt.Sprintf("zone-%d", i+1) }

func (f *Fleet) domainsTOML() string {
	s := ""
	for i := range domainCount {
		s += domainTOML(i, false)
	}
	return s
}

func domainTOML(i int, drained bool) string {
	return fmt.Sprintf("[[domain]]\nschema = 1\nname = %q\nregion = \"soak\"\ndelay = \"0s\"\nout = %v\n", domainName(i), drained)
}

func servicesTOML() string {
	s := ""
	for _, v := range Services {
		s += serviceTOML(v)
	}
	return s
}

func serviceTOML(s caller.Service) string {
	text := fmt.Sprintf("[[service]]\nschema = 2\nname = %q\nslots = %d\nconns = 260\ntimeout = %q\ncold = 2\nwarm = %q\n", s.Name, slotsPerUpstream, Timeout, warmup)
	switch s.Kind {
	case trail.Once:
		text += "[[service.route]]\npath = \"/\"\nrepeat = \"never\"\n"
	case trail.Upload:
		text += "[[service.route]]\npath = \"/\"\nclass = \"bulk\"\n"
	}
	return text
}

// recordChange records a change of an operator's record.
func (f *Fleet) recordChange(era int64, it *pb.Item) {
	if record, ok := strings.CutPrefix(it.GetKey(), keys.RecordPrefix); ok {
		c := trail.Change{Record: record, Gone: it.GetGone(), Revision: revno.New(era, it.GetRevision()), At: f.Clock.Now()}
		f.Trail.Update(func() { f.Trail.Changes = append(f.Trail.Changes, c) })
	}
}

// awaitReady waits until all entries are ready.
func (f *Fleet) awaitReady(ctx context.Context) error {
	deadline := f.Clock.Now().Add(readyTimeout)
	for _, e := range f.allEntries() {
		for !e.checkReady() {
			if f.Clock.Now().After(deadline) || ctx.Err() != nil {
				return eris.Wrapf(ErrFleet, "%s did not become ready", e.name)
			}
			f.sleep(pollInterval)
		}
	}
	return nil
}

// startPolls starts what observes the processes.
func (f *Fleet) startPolls() {
	f.done = make(chan struct{})
	go (&stallWatch{fleet: f, done: f.done, waited: map[string]time.Duration{}}).loop()
	for _, e := range f.allEntries() {
		go e.loopPolls()
	}
}

func (f *Fleet) sleep(d time.Duration) {
	t, stop := f.Clock.Timer(d)
	defer stop()
	<-t
}

// Pick returns the target of a new connection, as the platform's balancer would: an entry that is in rotation or, if fewer than
// half are, any.
func (f *Fleet) Pick() (caller.Target, bool) {
	var in, all []*entry
	for _, e := range f.allEntries() {
		if e.isGone() {
			continue
		}
		if e.inRotation() {
			in = append(in, e)
		}
		all = append(all, e)
	}
	if 2*len(in) < len(all) {
		in = all
	}
	f.mu.Lock()
	e := in[f.rand.IntN(len(in))]
	f.mu.Unlock()
	return e.target()
}

// Settle waits until the entries that are stopping have exited and, if the plan has a growing fleet, until the changes of records have
// to be in force and were observed.
func (f *Fleet) Settle() {
	for _, e := range f.allEntries() {
		e.awaitStop()
	}
	if f.grows() {
		f.sleep(check.InForceBound + 2*balancerInterval)
	}
}

// Close kills the entries, closes the servers, and completes the record of the processes.
func (f *Fleet) Close() {
	if f.done != nil {
		close(f.done)
	}
	for _, e := range f.allEntries() {
		e.close()
	}
	for _, u := range append(f.allUpstreams(), f.grown...) {
		u.close()
	}
	if f.kvServer != nil {
		_ = f.kvServer.Close()
	}
}

func (f *Fleet) allEntries() []*entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries)
}

func (f *Fleet) allUpstreams() []*upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.upstreams)
}

// uses reports whether the plan has a fault of one of the kinds.
func (f *Fleet) uses(kinds ...plan.Kind) bool {
	return slices.ContainsFunc(f.Plan.Fault, func(x plan.Fault) bool { return slices.Contains(kinds, x.Kind) })
}
