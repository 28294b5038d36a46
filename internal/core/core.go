package core

/*
                     +----------------- Core.loop owns contrl.Control -----------------+
 store  --replies--> |                                                                 | --orders--> errand.run --> store
 peers  --digests--> |  events --> Step --> effects                                    | --digests-> errand.run --> peers
 pools  --news-----> |                                                                 | --probes--> errand.run --> upstreams
 ticker -----------> |                                                                 | --install-> pools (traffic)
                     +-----------------------------------------------------------------+
 Core.pump moves up the calls that wait in the pools; the front's handlers run beside both.
*/

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/pkg/calls/credit"
	"github.com/balsamvale/balsamvale/pkg/calls/demand"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/control/contrl"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/snap"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/status"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
	"github.com/balsamvale/balsamvale/pkg/traffic/poison"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// ErrStopped is what the errors match about an entry whose control has ended.
var ErrStopped = eris.New("control has stopped")

// Core holds the control state and the pools of one entry.
type Core struct {
	// CallStore carries out a call to the store.
	CallStore func(ctx context.Context, o kvreq.Request) kvresp.Response
	// SendDigest exchanges digests with a peer, and Ask asks one for credits.
	SendDigest func(ctx context.Context, addr netip.AddrPort, d digest.Digest) (digest.Digest, error)
	// Probe asks an upstream for its load.
	Probe          func(ctx context.Context, name string, addr netip.AddrPort, path string) result.Result
	RequestCredits func(ctx context.Context, addr netip.AddrPort, a demand.Demand) ([]credit.Credit, error)

	clock          clock.Clock
	log            *logs.Log
	poison         *poison.Table
	control        *contrl.Control
	self           member.Member
	seeds          []netip.AddrPort
	events         chan event.Event
	requests       chan controlRequest
	statusRequests chan chan status.Status
	pending        map[uint64]controlRequest
	nextTag        uint64
	dispatchWake   chan struct{}
	done           chan struct{}
	tasks          sync.WaitGroup
	rand           *rand.Rand
	ready          atomic.Bool
	// freshAt is when the configuration was surely that of the store, as of the last tick.
	freshAt atomic.Pointer[time.Time]
	view    atomic.Pointer[trafficView]
	// DroppedEvents counts the news that control had no room for.
	DroppedEvents atomic.Uint64
}

// trafficView is what the traffic side reads.
type trafficView struct {
	snapshot *snap.Snapshot
	pools    map[string]*pool.Pool
}

// controlRequest is an event whose effect somebody waits for.
type controlRequest struct {
	event  event.Event
	result chan effect.Effect
}

// New returns a core; seeds are peers to ask while the store cannot be reached.
func New(c clock.Clock, log *logs.Log, me member.Member, seeds []netip.AddrPort, seed uint64, decode func(item.Item) (value.Value, error)) *Core {
	rnd := rand.New(rand.NewPCG(seed, me.Incarnation))
	co := &Core{
		clock:          c,
		log:            log,
		poison:         poison.New(),
		control:        contrl.New(me, rnd, decode),
		self:           me,
		seeds:          seeds,
		events:         make(chan event.Event, tune.EventQueueSize),
		requests:       make(chan controlRequest),
		statusRequests: make(chan chan status.Status),
		pending:        map[uint64]controlRequest{},
		dispatchWake:   make(chan struct{}, 1),
		done:           make(chan struct{}),
		rand:           rand.New(rand.NewPCG(me.Incarnation, seed)),
	}
	co.view.Store(&trafficView{snapshot: &snap.Snapshot{}, pools: map[string]*pool.Pool{}})
	co.control.ReportAge = co.reportAge
	co.poison.OnCrash = co.postCrash
	return co
}

// Poison returns the fingerprints that the traffic side consults.
func (co *Core) Poison() *poison.Table { return co.poison }

// Service looks up a service and its pool; both are nil when it is not known.
func (co *Core) Service(name string) (*svcrec.Service, *pool.Pool) {
	t := co.view.Load()
	f := t.snapshot.Services[name]
	if f == nil {
		return nil, nil
	}
	return &f.Service, t.pools[name]
}

// VisitLimits visits each service with the calls that it may have under way in this entry, and those that wait beyond it.
func (co *Core) VisitLimits(visit func(service string, limit, waiting int)) {
	for name, p := range co.view.Load().pools {
		limit, waiting := p.AdmissionStats()
		visit(name, limit, waiting)
	}
}

// Rule finds the routing rule of a call; known is false when there are no rules.
func (co *Core) Rule(host, path string) (r *rulrec.Rule, known bool) {
	t := co.view.Load().snapshot.Rules
	if t == nil {
		return nil, false
	}
	return t.Find(host, path), true
}

// ConfigAge returns how long ago the configuration in force was surely that of the store; ok is false while there is none.
func (co *Core) ConfigAge() (age time.Duration, ok bool) {
	at := co.freshAt.Load()
	if at == nil || at.IsZero() {
		return 0, false
	}
	return co.clock.Now().Sub(*at), true
}

// Revision returns that of the configuration in force; 0 while there is none.
func (co *Core) Revision() int64 { return co.view.Load().snapshot.Revision }

// Bounds returns what callers may send as operators wrote it, or nil for the settings.
func (co *Core) Bounds() *bounds.Bounds { return co.view.Load().snapshot.Bounds }

// Entries returns the number of entries in the fleet as far as is known.
func (co *Core) Entries() int {
	for _, f := range co.view.Load().snapshot.Services {
		return f.EntryCount
	}
	return 1
}

// Ready reports whether callers should be sent here.
func (co *Core) Ready() bool { return co.ready.Load() }

// Configured reports whether a configuration is in force.
func (co *Core) Configured() bool { return co.view.Load().snapshot.Revision > 0 }

// Start begins the loops; they end with the context.
func (co *Core) Start(ctx context.Context) {
	go co.loop(ctx)
	go co.dispatchLoop(ctx)
	for _, s := range co.seeds {
		co.tasks.Add(1)
		go (&effectTask{core: co, ctx: ctx, effect: effect.Effect{Action: action.SendDigest, Addr: s, Digest: digest.Digest{From: co.self.Name}}}).run()
	}
}

// loop owns the control state.
func (co *Core) loop(ctx context.Context) {
	defer close(co.done)
	tick, stop := co.clock.Timer(tune.Tick)
	for {
		select {
		case ev := <-co.events:
			co.step(ctx, ev)
		case q := <-co.requests:
			co.nextTag++
			q.event.CorrelationID = co.nextTag
			co.pending[co.nextTag] = q
			co.step(ctx, q.event)
		case look := <-co.statusRequests:
			look <- co.control.Status()
		case <-tick:
			co.tick(ctx)
			tick, stop = co.clock.Timer(tune.Tick)
		case <-ctx.Done():
			stop()
			return
		}
	}
}

// tick passes time on, and the traffic side's need for credits.
func (co *Core) tick(ctx context.Context) {
	co.step(ctx, event.Event{Kind: evkind.Tick})
	now := co.clock.Now()
	fresh := co.control.FreshAt()
	co.freshAt.Store(&fresh)
	co.poison.Sweep(now)
	for service, p := range co.view.Load().pools {
		p.PublishEvidence(now)
		p.VisitDemand(now, func(upstream string, boot uint64, want int, back []uint64) {
			a := demand.Demand{Service: service, Upstream: upstream, Incarnation: boot, Want: want, Returned: back}
			co.postOrDrop(event.Event{Kind: evkind.CreditsNeeded, Demand: a})
		})
	}
}

func (co *Core) step(ctx context.Context, ev event.Event) {
	for _, e := range co.control.Step(co.clock.Now(), ev) {
		co.perform(ctx, e)
	}
}

// perform carries out one effect: at once where it is quick, else by an errand.
func (co *Core) perform(ctx context.Context, e effect.Effect) {
	switch e.Action {
	case action.PublishSnapshot:
		co.publish(e)
	case action.DeliverFact:
		co.mergeFact(e)
	case action.AnswerDigest, action.GrantCredits:
		if q, ok := co.pending[e.CorrelationID]; ok {
			delete(co.pending, e.CorrelationID)
			q.result <- e
		}
	case action.DeliverCredits:
		co.grantCredits(e.Demand, e.Credits)
	case action.Log:
		co.log.ControlDecision(e.Message)
	default:
		co.tasks.Add(1)
		go (&effectTask{core: co, ctx: ctx, effect: e}).run()
	}
}

// publish puts a snapshot in force.
func (co *Core) publish(e effect.Effect) {
	now := co.clock.Now()
	old := co.view.Load()
	next := &trafficView{snapshot: e.Snapshot, pools: make(map[string]*pool.Pool, len(e.Snapshot.Services))}
	for name := range e.Snapshot.Services {
		next.pools[name] = old.pools[name]
		if next.pools[name] == nil {
			next.pools[name] = co.newPool()
		}
	}
	for _, name := range e.Changed {
		if f := e.Snapshot.Services[name]; f != nil {
			next.pools[name].Install(now, f)
		}
	}
	co.view.Store(next)
	co.ready.Store(co.control.Ready())
}

func (co *Core) newPool() *pool.Pool {
	p := pool.New(rand.New(rand.NewPCG(co.rand.Uint64(), co.rand.Uint64())), policy.LeastPredictedWait)
	p.OnFact = co.postFact
	p.OnWaiting = co.wakeDispatch
	return p
}

// mergeFact hands a fact to the traffic side.
func (co *Core) mergeFact(e effect.Effect) {
	now := co.clock.Now()
	if e.Fact.Topic == topic.Poison {
		if fp, ok := parseFingerprint(e.Fact.Subject); ok && e.Fact.Origin != co.self.Name {
			co.poison.Merge(fp, e.Fact.Origin, e.Fact.Value, e.Fact.Until)
		}
		return
	}
	if p := co.view.Load().pools[e.Service]; p != nil {
		p.Merge(now, e.Fact)
	}
}

func (co *Core) grantCredits(a demand.Demand, cs []credit.Credit) {
	if p := co.view.Load().pools[a.Service]; p != nil {
		p.AddCredits(co.clock.Now(), a.Upstream, a.Incarnation, cs)
	}
}

// postFact takes in the traffic side's news without holding it up.
func (co *Core) postFact(f fact.Fact) {
	co.postOrDrop(event.Event{Kind: evkind.FactReported, Fact: f})
}

func (co *Core) postCrash(fp, crashes uint64, until time.Time) {
	co.postFact(fact.Fact{Topic: topic.Poison, Subject: formatFingerprint(fp), Value: crashes, Until: until})
}

// postOrDrop hands an event to control, or counts it as dropped when control is behind.
func (co *Core) postOrDrop(ev event.Event) {
	select {
	case co.events <- ev:
	default:
		co.DroppedEvents.Add(1)
	}
}

func (co *Core) reportAge(now time.Time, service, upstream string) (time.Duration, bool) {
	if p := co.view.Load().pools[service]; p != nil {
		return p.ReportAge(now, upstream)
	}
	return 0, false
}

// Submit hands an event to control and returns the effect that answers it; errors match ErrStopped.
func (co *Core) Submit(ctx context.Context, ev event.Event) (effect.Effect, error) {
	q := controlRequest{event: ev, result: make(chan effect.Effect, 1)}
	select {
	case co.requests <- q:
	case <-co.done:
		return effect.Effect{}, ErrStopped
	case <-ctx.Done():
		return effect.Effect{}, eris.Wrap(ErrStopped, ctx.Err().Error())
	}
	select {
	case e := <-q.result:
		return e, nil
	case <-co.done:
		return effect.Effect{}, ErrStopped
	}
}

// Status describes what is in force; errors match ErrStopped.
func (co *Core) Status(ctx context.Context) (status.Status, error) {
	look := make(chan status.Status, 1)
	select {
	case co.statusRequests <- look:
	case <-co.done:
		return status.Status{}, ErrStopped
	case <-ctx.Done():
		return status.Status{}, eris.Wrap(ErrStopped, ctx.Err().Error())
	}
	return <-look, nil
}

// Drain begins the planned stop.
func (co *Core) Drain() {
	co.ready.Store(false)
	select {
	case co.events <- event.Event{Kind: evkind.Stop}:
	case <-co.done:
	}
}

// dispatchLoop lets waiting calls look for an upstream anew, and sleeps while there are none.
func (co *Core) dispatchLoop(ctx context.Context) {
	for {
		select {
		case <-co.dispatchWake:
		case <-ctx.Done():
			return
		}
		for left := 1; left > 0; {
			tick, stop := co.clock.Timer(tune.QueuePoll)
			select {
			case <-tick:
			case <-ctx.Done():
				stop()
				return
			}
			left = 0
			now := co.clock.Now()
			for _, p := range co.view.Load().pools {
				left += p.DispatchWaiting(now)
			}
		}
	}
}

// wakeDispatch wakes the pump.
func (co *Core) wakeDispatch() {
	select {
	case co.dispatchWake <- struct{}{}:
	default:
	}
}
