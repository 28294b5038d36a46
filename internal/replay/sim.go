package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

// ErrTrace is matched by the errors about traces that cannot be found or run.
var ErrTrace = eris.New("cannot run trace")

// Sim is one run of a trace, with entries, upstreams, a store and callers on one event queue.
type Sim struct {
	trace     *pb.Trace
	policy    policy.Policy
	events    *eventQueue
	rand      *rand.Rand
	storage   *storage
	upstreams []*upstream
	byName    map[string]*upstream
	entries   []*entry
	counters  counters
	calls     []*simCall
	// partitioned cuts every second entry off from the other entries and from the store.
	partitioned   bool
	partitionedAt time.Time
	// storePartitioned cuts every second entry off from the store only.
	storePartitioned bool
	callsStart       time.Time
	// oracle serves the calls with serveOracle in place of the entries.
	oracle bool
	// rateFactor is the rate of calls as a multiple of the usual one.
	rateFactor float64
	// shedFraction is the fraction of attempts that upstreams shed although they could run them.
	shedFraction float64
	// abandonFraction is the fraction of calls whose callers give up at the goal.
	abandonFraction float64
	// Log, when set, receives a line for each decision and event; at is relative to the start of the calls. Tests compare the
	// lines with golden files.
	Log func(at time.Duration, line string)
}

// serviceName is the name of the single service in every trace.
const serviceName = "svc"

// startupTime is how long the entries run before the first call arrives.
const startupTime = 6 * time.Second

// New prepares a run of a trace under a routing policy.
func New(t *pb.Trace, p policy.Policy) *Sim {
	s := &Sim{
		trace: t, policy: p, events: newEventQueue(), callsStart: epoch.Add(startupTime), byName: map[string]*upstream{}, rateFactor: 1,
		rand: rand.New(rand.NewPCG(t.GetSeed(), seedStream)),
	}
	s.counters.init()
	s.storage = newStorage(s)
	return s
}

// seedStream separates the random numbers of a replay from those of other generators with the same seed.
const seedStream = 0xba15a

// Run runs the trace and returns its figures; errors match ErrTrace. It may be called only once.
func (s *Sim) Run() (map[pb.Bound_Figure]float64, error) {
	s.build()
	if err := s.writeRecords(); err != nil {
		return nil, err
	}
	for i := range s.trace.GetEntries() {
		s.startEntry(int(i))
	}
	s.events.run(epoch.Add(startupTime))
	s.callsStart = s.events.now
	s.counters.initialReads, s.counters.initialWrites = s.storage.reads, s.storage.writes
	s.scheduleFaults()
	s.scheduleArrivals()
	length := s.trace.GetLength().AsDuration()
	s.events.run(s.callsStart.Add(length))
	s.events.run(s.callsStart.Add(length + completionTime))
	return s.computeFigures(), nil
}

// completionTime is how long the run goes on after the last arrival, so that calls can end.
const completionTime = 15 * time.Second

// build creates the upstreams: first those of version v1, then those of the version that a rollout moves to.
func (s *Sim) build() {
	fleet := s.trace.GetFleet()
	for i := range int(fleet.GetUpstreams() + s.trace.GetPlan().GetUpstreams()) {
		version := "v1"
		if i >= int(fleet.GetUpstreams()) {
			version = "v2"
		}
		u := &upstream{
			sim: s, index: i, name: fmt.Sprintf("up-%02d", i), domain: i % int(fleet.GetDomains()),
			version: version, incarnation: s.rand.Uint64() >> 1, slowdown: 1, noise: 1,
		}
		u.started = epoch.Add(-time.Hour)
		s.upstreams = append(s.upstreams, u)
		s.byName[u.name] = u
	}
}

// writeRecords writes the configuration records of the trace, as the apply command would.
func (s *Sim) writeRecords() error {
	fleet := s.trace.GetFleet()
	text := fmt.Sprintf("[[service]]\nschema = 2\nname = %q\nslots = %d\nconns = 260\ntimeout = %q\ncold = %d\nwarm = %q\nbudget = %d\nask = %d\n",
		serviceName, fleet.GetSlots(), s.trace.GetLoad().GetTimeout().AsDuration(), fleet.GetCold(), fleet.GetWarm().AsDuration(), fleet.GetBudget(), fleet.GetAsk())
	text += "[[service.route]]\npath = \"/once\"\nrepeat = \"never\"\n[[service.route]]\npath = \"/bulk\"\nclass = \"bulk\"\n"
	for i := range fleet.GetDomains() {
		text += domainRecord(int(i), false)
	}
	for _, u := range s.upstreams {
		text += fmt.Sprintf("[[upstream]]\nschema = 1\nname = %q\nservice = %q\ndomain = \"zone-%d\"\naddr = \"10.0.0.%d:80\"\nversion = %q\n",
			u.name, serviceName, u.domain, u.index+1, u.version)
	}
	if plan := s.trace.GetPlan(); plan.GetUpstreams() > 0 {
		start := epoch.Add(startupTime + plan.GetStart().AsDuration())
		text += fmt.Sprintf("[[move]]\nschema = 1\nname = %q\nservice = %q\nfrom = \"v1\"\nto = \"v2\"\nstart = %s\ndeadline = %s\n",
			rolloutName, serviceName, start.Format(time.RFC3339Nano), start.Add(plan.GetLength().AsDuration()).Format(time.RFC3339Nano))
	}
	return s.apply(text)
}

// rolloutName is the name of the rollout in every trace that has one.
const rolloutName = "to-v2"

// domainRecord returns the TOML text of the record of failure domain i.
func domainRecord(i int, drained bool) string {
	return fmt.Sprintf("[[domain]]\nschema = 1\nname = \"zone-%d\"\nregion = \"one\"\nout = %v\ndelay = \"1ms\"\n", i, drained)
}

// apply writes records, given as TOML text, straight into the store without delay or conditions.
func (s *Sim) apply(text string) error {
	records, err := codec.ReadRecords("trace", []byte(text))
	if err != nil {
		return eris.Wrap(ErrTrace, err.Error())
	}
	for _, r := range records {
		data, err := proto.Marshal(r)
		if err != nil {
			return eris.Wrap(ErrTrace, err.Error())
		}
		s.storage.put(item.Item{Key: keys.Record(r.GetKind(), r.GetName()), Value: data}, 0)
	}
	return nil
}

// log passes a line to Log, if that is set.
func (s *Sim) log(format string, args ...any) {
	if s.Log != nil {
		s.Log(s.events.now.Sub(s.callsStart), fmt.Sprintf(format, args...))
	}
}

// delay returns the one-way network delay between an entry and an upstream.
func (s *Sim) delay(e *entry, u *upstream) time.Duration {
	if e.domain == u.domain {
		return intraDomainDelay
	}
	return crossDomainDelay
}

const (
	// intraDomainDelay is the one-way network delay within a failure domain.
	intraDomainDelay = 200 * time.Microsecond
	// crossDomainDelay is the one-way network delay between failure domains.
	crossDomainDelay = time.Millisecond
)
