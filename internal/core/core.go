package core

/*
                         +---------------- Core.loop owns contrl.Control ----------------+
 store  --responses----> |                                                               | --requests--> effectTask.run --> store
 peers  --digests------> |  events --> Control.Step --> effects                          | --digests---> effectTask.run --> peers
 pools  --facts--------> |                                                               | --probes----> effectTask.run --> upstreams
 timer  --ticks--------> |                                                               | --snapshots-> pools (traffic)
                         +---------------------------------------------------------------+
 Core.dispatchLoop dispatches the calls that wait in the pools. The HTTP handlers of the front address run beside both.
*/

import (
	"context"
	"math/rand/v2"
	"net/netip"
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
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
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

// ErrStopped is matched by the errors of requests that control did not answer, because it has stopped or because the
// requester gave up first.
var ErrStopped = eris.New("control has stopped")

// ErrFailed is matched by the errors of requests that control could not process because of an unexpected error.
var ErrFailed = eris.New("control failed to process the request")

// Core holds the control state and the pools of one entry.
type Core struct {
	// CallStore carries out a request to the store.
	CallStore func(ctx context.Context, req kvreq.Request) kvresp.Response
	// SendDigest sends the digest of an effect to its peer and returns the peer's answer.
	SendDigest func(ctx context.Context, e *effect.Effect) (digest.Digest, error)
	// Probe asks an upstream for its load report, which it serves at path.
	Probe func(ctx context.Context, name string, addr netip.AddrPort, path string) result.Result
	// RequestCredits makes the request of an effect for credits of a cold upstream.
	RequestCredits func(ctx context.Context, e *effect.Effect) ([]credit.Credit, error)

	clock  clock.Clock
	log    *logs.Log
	poison *poison.Table
	// control belongs to loop; after Start, no other goroutine uses it.
	control *contrl.Control
	self    member.Member
	// seeds are the peers that Start sends a digest to.
	seeds []netip.AddrPort
	// events queues events for control. Senders on requests and statusRequests block until loop receives.
	events         chan event.Event
	requests       chan controlRequest
	statusRequests chan chan status.Status
	// pending holds the requests that wait for their effect, by correlation ID.
	pending           map[uint64]controlRequest
	lastCorrelationID uint64
	// dispatchWake holds a token when a call has begun to wait.
	dispatchWake chan struct{}
	// done is closed when loop ends.
	done  chan struct{}
	rand  *rand.Rand
	ready atomic.Bool
	// stopping is set by Drain; a snapshot that control publishes before it knows does not make the entry ready again.
	stopping atomic.Bool
	// matched is the latest proof that the configuration matched the store, as of the last tick or change.
	matched atomic.Pointer[proof.Proof]
	view    atomic.Pointer[trafficView]
	// DroppedEvents counts the events that were dropped because the queue of control was full.
	DroppedEvents atomic.Uint64
}

// trafficView is what traffic goroutines read. A view never changes but is replaced; the pools in it have state of their own.
type trafficView struct {
	snapshot *snap.Snapshot
	pools    map[string]*pool.Pool
}

// controlRequest is an event whose sender waits for the effect that answers it.
type controlRequest struct {
	event  event.Event
	result chan effect.Effect
}

// New returns a core that does nothing before Start.
//
// The function fields have to be set before Start. The entry sends a digest to each peer in seeds when it starts, and
// gets the configuration from one of them while the store cannot be reached. Seed and the incarnation of self seed the
// random numbers, and decode turns items of the store into values.
func New(c clock.Clock, log *logs.Log, self member.Member, seeds []netip.AddrPort, seed uint64, decode func(item.Item) (value.Value, error)) *Core {
	rnd := rand.New(rand.NewPCG(seed, self.Incarnation))
	co := &Core{
		clock:          c,
		log:            log,
		poison:         poison.New(),
		control:        contrl.New(self, rnd, (&safeDecoder{decode: decode, log: log}).decodeItem),
		self:           self,
		seeds:          seeds,
		events:         make(chan event.Event, tune.EventQueueSize),
		requests:       make(chan controlRequest),
		statusRequests: make(chan chan status.Status),
		pending:        map[uint64]controlRequest{},
		dispatchWake:   make(chan struct{}, 1),
		done:           make(chan struct{}),
		rand:           rand.New(rand.NewPCG(self.Incarnation, seed)),
	}
	co.view.Store(&trafficView{snapshot: &snap.Snapshot{}, pools: map[string]*pool.Pool{}})
	co.control.ReportAge, co.control.Seeds = co.reportAge, seeds
	co.poison.OnCrash = co.postCrash
	return co
}

// Poison returns the table of fingerprints whose calls crashed upstreams.
func (co *Core) Poison() *poison.Table { return co.poison }

// Start starts the goroutines of the core and sends a digest to each seed; the goroutines end when ctx is done.
func (co *Core) Start(ctx context.Context) {
	go co.loop(ctx)
	go co.dispatchLoop(ctx)
	for _, addr := range co.seeds {
		go (&effectTask{core: co, ctx: ctx, effect: effect.Effect{Action: action.SendDigest, Addr: addr, Digest: digest.Digest{From: co.self.Name, Brief: true, WantsKept: true}}}).run()
	}
}

// loop is the only goroutine that uses the control state, until ctx is done.
func (co *Core) loop(ctx context.Context) {
	defer close(co.done)
	tick, stop := co.clock.Timer(tune.Tick)
	for {
		select {
		case ev := <-co.events:
			co.step(ctx, ev)
		case req := <-co.requests:
			co.lastCorrelationID++
			req.event.CorrelationID = co.lastCorrelationID
			co.pending[co.lastCorrelationID] = req
			co.step(ctx, req.event)
		case reply := <-co.statusRequests:
			reply <- co.control.Status()
		case <-tick:
			co.tick(ctx)
			tick, stop = co.clock.Timer(tune.Tick)
		case <-ctx.Done():
			stop()
			return
		}
	}
}

// tick tells control that time has passed, updates matched, forgets poison fingerprints that have expired, and collects
// evidence and the demand for credits from the pools.
func (co *Core) tick(ctx context.Context) {
	co.step(ctx, event.Event{Kind: evkind.Tick})
	now := co.clock.Now()
	co.updateMatched()
	co.poison.Sweep(now)
	for service, p := range co.view.Load().pools {
		p.PublishEvidence(now)
		p.VisitDemand(now, func(upstream string, incarnation uint64, want int, returned []uint64) {
			d := demand.Demand{Service: service, Upstream: upstream, Incarnation: incarnation, Want: want, Returned: returned}
			co.postOrDrop(event.Event{Kind: evkind.CreditsNeeded, Demand: d})
		})
	}
}

// updateMatched takes matched over from control. The view must hold all that control had in force by then.
func (co *Core) updateMatched() {
	matched := co.control.Matched()
	co.matched.Store(&matched)
}

// step passes an event to control and carries out the effects that it requests.
func (co *Core) step(ctx context.Context, ev event.Event) {
	effects, ok := co.decide(ev)
	for _, e := range effects {
		co.perform(ctx, e)
	}
	if req, waits := co.pending[ev.CorrelationID]; waits && !ok {
		delete(co.pending, ev.CorrelationID)
		close(req.result)
	}
}

// decide passes an event to control. If control panics, ok is false, and the effects are those that control requested before,
// because control waits for the results of some of them.
func (co *Core) decide(ev event.Event) (effects []effect.Effect, ok bool) {
	defer func() {
		if v := recover(); v != nil {
			co.log.Panic("control, event "+ev.Kind.String(), "", v)
			effects = co.control.Abandon()
		}
	}()
	return co.control.Step(co.clock.Now(), ev), true
}

// perform carries out one effect: at once if it needs no network I/O, otherwise in the goroutine of an effectTask.
func (co *Core) perform(ctx context.Context, e effect.Effect) {
	switch e.Action {
	case action.PublishSnapshot:
		co.publish(e)
	case action.DeliverFact:
		co.deliverFact(e)
	case action.AnswerDigest, action.GrantCredits:
		if req, ok := co.pending[e.CorrelationID]; ok {
			delete(co.pending, e.CorrelationID)
			req.result <- e
		}
	case action.DeliverCredits:
		co.deliverCredits(e.Demand, e.Credits)
	case action.Log:
		co.log.ControlDecision(e.Message)
	default:
		go (&effectTask{core: co, ctx: ctx, effect: e}).run()
	}
}

// publish puts a snapshot in force: it keeps the pools of known services, creates those of new ones, closes those of services
// that are gone, and installs the configuration of the services that changed.
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
		if cfg := e.Snapshot.Services[name]; cfg != nil {
			next.pools[name].Install(now, cfg)
		}
	}
	co.view.Store(next)
	co.updateMatched()
	for name, p := range old.pools {
		if next.pools[name] == nil {
			p.Close(now)
		}
	}
	co.ready.Store(co.control.Ready())
	first := old.snapshot.Revision == 0 && e.Snapshot.Revision != 0
	if first || old.snapshot.OperatorRevision != e.Snapshot.OperatorRevision {
		co.log.ConfigInForce(e.Snapshot, co.Basis())
	}
}

func (co *Core) newPool() *pool.Pool {
	p := pool.New(rand.New(rand.NewPCG(co.rand.Uint64(), co.rand.Uint64())), policy.LeastPredictedWait)
	p.OnFact = co.postFact
	p.OnWaiting = co.wakeDispatch
	return p
}

// deliverFact hands a fact to the poison table or to the pool of its service.
//
// This entry's own crashes are in the poison table already.
func (co *Core) deliverFact(e effect.Effect) {
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

// deliverCredits hands credits to the pool whose demand they fulfill.
func (co *Core) deliverCredits(d demand.Demand, credits []credit.Credit) {
	if p := co.view.Load().pools[d.Service]; p != nil {
		p.AddCredits(co.clock.Now(), d.Upstream, d.Incarnation, credits)
	}
}

// postFact passes a fact from a pool to control. It must not block, since traffic goroutines and loop itself call it.
func (co *Core) postFact(f fact.Fact) {
	co.postOrDrop(event.Event{Kind: evkind.FactReported, Fact: f})
}

// postCrash passes the number of crashes that this entry has seen for a fingerprint to control.
func (co *Core) postCrash(fp, crashes uint64, until time.Time) {
	co.postFact(fact.Fact{Topic: topic.Poison, Subject: formatFingerprint(fp), Value: crashes, Until: until})
}

// postOrDrop queues an event for control, or drops and counts it if the queue is full.
func (co *Core) postOrDrop(ev event.Event) {
	select {
	case co.events <- ev:
	default:
		co.DroppedEvents.Add(1)
	}
}

// reportAge returns the age of the newest load report of an upstream, and whether the state of the upstream is uncertain
// because it is cold or its circuit is open. It returns 0 and false for an unknown service or upstream.
func (co *Core) reportAge(now time.Time, service, upstream string) (time.Duration, bool) {
	if p := co.view.Load().pools[service]; p != nil {
		return p.ReportAge(now, upstream)
	}
	return 0, false
}

// Submit passes an event to control and returns the effect that answers it; errors match ErrStopped or ErrFailed.
//
// Once control has accepted the event, Submit waits for the effect even if ctx is done.
func (co *Core) Submit(ctx context.Context, ev event.Event) (effect.Effect, error) {
	req := controlRequest{event: ev, result: make(chan effect.Effect, 1)}
	select {
	case co.requests <- req:
	case <-co.done:
		return effect.Effect{}, ErrStopped
	case <-ctx.Done():
		return effect.Effect{}, eris.Wrap(ErrStopped, ctx.Err().Error())
	}
	select {
	case e, ok := <-req.result:
		if !ok {
			return effect.Effect{}, ErrFailed
		}
		return e, nil
	case <-co.done:
		return effect.Effect{}, ErrStopped
	}
}

// Status returns the state of the entry and what it has in force; errors match ErrStopped.
func (co *Core) Status(ctx context.Context) (status.Status, error) {
	reply := make(chan status.Status, 1)
	select {
	case co.statusRequests <- reply:
	case <-co.done:
		return status.Status{}, ErrStopped
	case <-ctx.Done():
		return status.Status{}, eris.Wrap(ErrStopped, ctx.Err().Error())
	}
	return <-reply, nil
}

// Drain begins a planned stop: the entry is no longer ready, and control is told.
func (co *Core) Drain() {
	co.stopping.Store(true)
	select {
	case co.events <- event.Event{Kind: evkind.Stop}:
	case <-co.done:
	}
}
