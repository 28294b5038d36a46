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

// ErrTrace is what the errors match about a trace that cannot be run.
var ErrTrace = eris.New("the trace cannot be run")

// Sim is one run of a trace: entries, upstreams, a store and callers on one agenda.
type Sim struct {
	trace     *pb.Trace
	policy    policy.Policy
	events    *eventQueue
	rand      *rand.Rand
	store     *storage
	upstreams []*upstream
	byName    map[string]*upstream
	entries   []*entry
	counters  counters
	calls     []*simCall
	// partitioned keeps every second entry from the others and from the store, severed only from the store.
	partitioned      bool
	partitionedAt    time.Time
	storePartitioned bool
	callsStart       time.Time
	oracle           bool
	// rateFactor is the rate of calls as a multiple of the usual, and shed the part of calls that upstreams turn away.
	rateFactor   float64
	shedFraction float64
	// abandonFraction is the part of the callers that leave at the goal.
	abandonFraction float64
	// Log, when set, is told each decision and event, for golden sessions.
	Log func(at time.Duration, line string)
}

// serviceName is the service of every trace.
const serviceName = "svc"

// settle is the time in which a fleet comes up before calls arrive.
const startupTime = 6 * time.Second

// New prepares the run of a trace under a policy.
func New(t *pb.Trace, p policy.Policy) *Sim {
	s := &Sim{
		trace: t, policy: p, events: newEventQueue(), callsStart: epoch.Add(startupTime), byName: map[string]*upstream{}, rateFactor: 1,
		rand: rand.New(rand.NewPCG(t.GetSeed(), seedStream)),
	}
	s.counters.init()
	s.store = newStorage(s)
	return s
}

// seedStream separates the random numbers of traces from others of the same seed.
const seedStream = 0xba15a

// Run carries out the trace and returns its figures; errors match ErrTrace.
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
	s.counters.initialReads, s.counters.initialWrites = s.store.reads, s.store.writes
	s.scheduleFaults()
	s.scheduleArrivals()
	length := s.trace.GetLength().AsDuration()
	s.events.run(s.callsStart.Add(length))
	s.events.run(s.callsStart.Add(length + drainTime))
	return s.computeFigures(), nil
}

// drainTime is the time after the last arrival in which calls may still end.
const drainTime = 15 * time.Second

func (s *Sim) build() {
	f := s.trace.GetFleet()
	for i := range int(f.GetUpstreams() + s.trace.GetPlan().GetUpstreams()) {
		version := "v1"
		if i >= int(f.GetUpstreams()) {
			version = "v2"
		}
		u := &upstream{
			sim: s, index: i, name: fmt.Sprintf("up-%02d", i), domain: i % int(f.GetDomains()),
			version: version, incarnation: s.rand.Uint64() >> 1, slowdown: 1, noise: 1,
		}
		u.started = epoch.Add(-time.Hour)
		s.upstreams = append(s.upstreams, u)
		s.byName[u.name] = u
	}
}

// writeRecords writes the operators' records, as the apply command would.
func (s *Sim) writeRecords() error {
	f := s.trace.GetFleet()
	text := fmt.Sprintf("[[service]]\nschema = 2\nname = %q\nslots = %d\nconns = 260\ntimeout = %q\ncold = %d\nwarm = %q\nbudget = %d\nask = %d\n",
		serviceName, f.GetSlots(), s.trace.GetLoad().GetTimeout().AsDuration(), f.GetCold(), f.GetWarm().AsDuration(), f.GetBudget(), f.GetAsk())
	text += "[[service.route]]\npath = \"/once\"\nrepeat = \"never\"\n[[service.route]]\npath = \"/bulk\"\nclass = \"bulk\"\n"
	for i := range f.GetDomains() {
		text += domainRecord(int(i), false)
	}
	for _, u := range s.upstreams {
		text += fmt.Sprintf("[[upstream]]\nschema = 1\nname = %q\nservice = %q\ndomain = \"zone-%d\"\naddr = \"10.0.0.%d:80\"\nversion = %q\n",
			u.name, serviceName, u.domain, u.index+1, u.version)
	}
	if p := s.trace.GetPlan(); p.GetUpstreams() > 0 {
		start := epoch.Add(startupTime + p.GetStart().AsDuration())
		text += fmt.Sprintf("[[move]]\nschema = 1\nname = %q\nservice = %q\nfrom = \"v1\"\nto = \"v2\"\nstart = %s\ndeadline = %s\n",
			rolloutName, serviceName, start.Format(time.RFC3339Nano), start.Add(p.GetLength().AsDuration()).Format(time.RFC3339Nano))
	}
	return s.apply(text)
}

// rolloutName is the move of every trace that has one.
const rolloutName = "to-v2"

func domainRecord(i int, out bool) string {
	return fmt.Sprintf("[[domain]]\nschema = 1\nname = \"zone-%d\"\nregion = \"one\"\nout = %v\ndelay = \"1ms\"\n", i, out)
}

// apply writes records straight into the store.
func (s *Sim) apply(text string) error {
	recs, err := codec.ReadRecords("trace", []byte(text))
	if err != nil {
		return eris.Wrap(ErrTrace, err.Error())
	}
	for _, r := range recs {
		data, err := proto.Marshal(r)
		if err != nil {
			return eris.Wrap(ErrTrace, err.Error())
		}
		s.store.put(item.Item{Key: keys.Record(r.GetKind(), r.GetName()), Value: data}, 0)
	}
	return nil
}

func (s *Sim) log(format string, args ...any) {
	if s.Log != nil {
		s.Log(s.events.now.Sub(s.callsStart), fmt.Sprintf(format, args...))
	}
}

// delay is the one-way delay between an entry and an upstream.
func (s *Sim) delay(e *entry, u *upstream) time.Duration {
	if e.domain == u.domain {
		return intraDomainDelay
	}
	return crossDomainDelay
}

const (
	// intraDomainDelay is the one-way delay within a failure domain.
	intraDomainDelay = 200 * time.Microsecond
	// crossDomainDelay is the one-way delay between failure domains.
	crossDomainDelay = time.Millisecond
)
