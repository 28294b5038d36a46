package replay

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/credit"
	"github.com/balsamvale/balsamvale/pkg/calls/demand"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/control/contrl"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/traffic/idkey"
	"github.com/balsamvale/balsamvale/pkg/traffic/poison"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// entry simulates an entry host.
//
// It drives the production code for control, routing and idempotency key claims; the simulation takes the place of the
// network, the store and the clock.
type entry struct {
	sim         *Sim
	index       int
	name        string
	domain      int
	incarnation uint64
	control     *contrl.Control
	pool        *pool.Pool
	poison      *poison.Table
	service     *svcrec.Service
	// claimWorkers holds the workers by the number of their bucket.
	claimWorkers map[int]*claimWorker
	// killed is set for good; a restart replaces the entry.
	killed bool
	// pausedUntil is the time until which the entry does nothing.
	pausedUntil time.Time
	// pollScheduled is set while a queue poll is scheduled.
	pollScheduled bool
	// blackholed marks, by index, the upstreams whose open connections have gone silent.
	blackholed map[int]bool
	lastCallID uint64
	// revision is that of the last snapshot; it must never decrease.
	revision revno.Revision
}

// startEntry starts entry i under a new incarnation, in place of the one that ran under its name before.
//
// Its first tick comes after a random part of tune.Tick.
func (s *Sim) startEntry(i int) *entry {
	e := &entry{
		sim: s, index: i, name: fmt.Sprintf("entry-%02d", i), domain: i % int(s.trace.GetFleet().GetDomains()),
		incarnation: s.rand.Uint64() >> 1, poison: poison.New(), claimWorkers: map[int]*claimWorker{}, blackholed: map[int]bool{},
	}
	self := member.Member{Name: e.name, Domain: fmt.Sprintf("zone-%d", e.domain), Incarnation: e.incarnation}
	self.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), peerPort)
	e.control = contrl.New(self, rand.New(rand.NewPCG(e.incarnation, 1)), codec.Decode)
	e.pool = pool.New(rand.New(rand.NewPCG(e.incarnation, 2)), s.policy)
	e.control.ReportAge = func(now time.Time, _, up string) (time.Duration, bool) { return e.pool.ReportAge(now, up) }
	e.pool.OnFact = func(f fact.Fact) { e.handleEvent(event.Event{Kind: evkind.FactReported, Fact: f}) }
	e.poison.OnCrash = func(fp, n uint64, until time.Time) {
		f := fact.Fact{Topic: topic.Poison, Subject: fmt.Sprint(fp), Value: n, Until: until}
		e.handleEvent(event.Event{Kind: evkind.FactReported, Fact: f})
	}
	if i < len(s.entries) {
		s.entries[i] = e
	} else {
		s.entries = append(s.entries, e)
	}
	e.schedule(time.Duration(s.rand.Int64N(int64(tune.Tick))), e.tick)
	return e
}

// peerPort is the port of the peer addresses of all entries.
const peerPort = 7000

// schedule schedules do at the entry; it is delayed while the entry is paused and dropped once it is killed.
func (e *entry) schedule(d time.Duration, do func()) {
	e.sim.events.after(d, func() { e.runIfLive(do) })
}

// runIfLive runs do now, at the end of the pause if the entry is paused, or never if it is killed.
func (e *entry) runIfLive(do func()) {
	now := e.sim.events.now
	switch {
	case e.killed:
	case now.Before(e.pausedUntil):
		e.sim.events.after(e.pausedUntil.Sub(now), func() { e.runIfLive(do) })
	default:
		do()
	}
}

// now returns the virtual time.
func (e *entry) now() time.Time { return e.sim.events.now }

// tick does the periodic work that the main loop does in production, and schedules the next tick.
func (e *entry) tick() {
	e.schedule(tune.Tick, e.tick)
	e.handleEvent(event.Event{Kind: evkind.Tick})
	e.poison.Sweep(e.now())
	e.pool.PublishEvidence(e.now())
	var demands []demand.Demand
	e.pool.VisitDemand(e.now(), func(up string, incarnation uint64, wanted int, returned []uint64) {
		demands = append(demands, demand.Demand{Service: serviceName, Upstream: up, Incarnation: incarnation, Want: wanted, Returned: returned})
	})
	for _, d := range demands {
		e.handleEvent(event.Event{Kind: evkind.CreditsNeeded, Demand: d})
	}
}

// handleEvent passes an event to the control state machine and performs the effects that it requests.
func (e *entry) handleEvent(ev event.Event) {
	for _, ef := range e.control.Step(e.now(), ev) {
		e.perform(ef)
	}
}

// perform carries out an effect.
func (e *entry) perform(ef effect.Effect) {
	switch ef.Action {
	case action.CallStore:
		e.sim.storage.submit(ef.Request, e.storeUnreachable, func(r kvresp.Response) {
			e.runIfLive(func() { e.handleEvent(event.Event{Kind: evkind.StoreResponse, Response: r}) })
		})
	case action.SendDigest:
		e.sendDigest(ef)
	case action.PublishSnapshot:
		e.install(ef)
	case action.DeliverFact:
		e.mergeFact(ef.Fact)
	case action.ProbeUpstream:
		e.probe(ef.Upstream)
	case action.RequestCredits:
		e.requestCredits(ef)
	case action.DeliverCredits:
		e.pool.AddCredits(e.now(), ef.Demand.Upstream, ef.Demand.Incarnation, ef.Credits)
	case action.Log:
		e.sim.log("%s place %v %s: %s", e.name, ef.Message.Type, ef.Message.Subject, ef.Message.Reason)
	}
}

// partitionSide returns 0 or 1 for the two sides of a partition, and 0 when there is none.
func (e *entry) partitionSide() int {
	if e.sim.partitioned {
		return e.index % 2
	}
	return 0
}

// storeUnreachable reports whether a partition cuts the entry off from the store.
func (e *entry) storeUnreachable() bool {
	return (e.sim.partitioned || e.sim.storePartitioned) && e.index%2 == 1
}

// isolatedSince reports whether the entry could not learn of a change made at the given time: since before the change, it has
// been cut off from the store and from all entries that reach it.
func (e *entry) isolatedSince(at time.Time) bool {
	return e.sim.partitioned && e.index%2 == 1 && e.sim.partitionedAt.Before(at)
}

// install puts a snapshot of the control state in force and counts a revision that decreases.
func (e *entry) install(ef effect.Effect) {
	if ef.Snapshot.Revision < e.revision {
		e.sim.counters.revisionRegressions++
	}
	e.sim.counters.recordPropagation(e.now(), e.revision, ef.Snapshot.Revision)
	e.revision = ef.Snapshot.Revision
	cfg := ef.Snapshot.Services[serviceName]
	if cfg == nil {
		return
	}
	e.service = &cfg.Service
	e.pool.Install(e.now(), cfg)
}

// mergeFact passes a gossiped fact to the poison table or the pool.
func (e *entry) mergeFact(f fact.Fact) {
	if f.Topic != topic.Poison {
		e.pool.Merge(e.now(), f)
		return
	}
	var fp uint64
	if _, err := fmt.Sscan(f.Subject, &fp); err == nil && f.Origin != e.name {
		e.poison.Merge(fp, f.Origin, f.Value, f.Until)
	}
}

// reachablePeer returns the entry of that name, or nil if it is killed or on the other side of a partition.
func (e *entry) reachablePeer(name string) *entry {
	for _, p := range e.sim.entries {
		if p.name == name && !p.killed && (!e.sim.partitioned || p.index%2 == e.index%2) {
			return p
		}
	}
	return nil
}

// sendDigest sends a gossip digest to a peer and handles the answer; an unreachable peer is reported after tune.PeerTimeout.
func (e *entry) sendDigest(ef effect.Effect) {
	p := e.reachablePeer(ef.Peer)
	if p == nil {
		e.schedule(tune.PeerTimeout, func() { e.handleEvent(event.Event{Kind: evkind.PeerUnreachable, Peer: ef.Peer, FetchID: ef.FetchID}) })
		return
	}
	sent := e.now()
	p.schedule(crossDomainDelay, func() {
		ef.Digest.Matched = ef.Digest.Matched.Rebase(sent, p.now())
		for _, out := range p.control.Step(p.now(), event.Event{Kind: evkind.DigestReceived, Digest: ef.Digest}) {
			if out.Action != action.AnswerDigest {
				p.perform(out)
				continue
			}
			answered := p.now()
			e.schedule(crossDomainDelay, func() {
				out.Digest.Matched = out.Digest.Matched.Rebase(answered, e.now())
				e.handleEvent(event.Event{Kind: evkind.DigestAnswered, Digest: out.Digest, FetchID: ef.FetchID})
			})
		}
	})
}

// requestCredits asks a peer, the owner of the shard, for credits and adds those that it issues to the pool.
//
// The lifetime of the credits counts from the time at which the request was sent.
func (e *entry) requestCredits(ef effect.Effect) {
	p := e.reachablePeer(ef.Peer)
	if p == nil {
		return
	}
	sent := e.now()
	p.schedule(crossDomainDelay, func() {
		for _, out := range p.control.Step(p.now(), event.Event{Kind: evkind.CreditsRequested, Demand: ef.Demand}) {
			if out.Action != action.GrantCredits {
				p.perform(out)
				continue
			}
			var granted []credit.Credit
			for _, c := range out.Credits {
				granted = append(granted, credit.Credit{ID: c.ID, Until: sent.Add(out.TTL)})
			}
			e.schedule(crossDomainDelay, func() { e.pool.AddCredits(e.now(), ef.Demand.Upstream, ef.Demand.Incarnation, granted) })
		}
	})
}

// probeLatency is the time from the sending of a probe by the control state machine to its result.
const probeLatency = 6 * time.Millisecond

// probe asks an upstream for its load report and records the result in the pool.
func (e *entry) probe(name string) {
	u := e.sim.byName[name]
	u.probes = append(u.probes, e.now())
	e.schedule(probeLatency, func() {
		r := &result.Result{Status: 200, Report: u.report()}
		if u.down {
			r = &result.Result{Cause: cause.ConnBroken}
		}
		e.pool.RecordProbe(e.now(), name, r)
	})
}

// pollQueue lets the waiting calls look for an upstream every tune.QueuePoll, as long as there are any.
func (e *entry) pollQueue() {
	if e.pollScheduled {
		return
	}
	e.pollScheduled = true
	e.schedule(tune.QueuePoll, func() {
		e.pollScheduled = false
		if e.pool.DispatchWaiting(e.now()) > 0 {
			e.pollQueue()
		}
	})
}

// claimWorker exchanges one bucket of idempotency key claims with the store.
type claimWorker struct {
	entry *entry
	// key is the key of the bucket in the store.
	key    string
	bucket *idkey.Bucket
	// requestInFlight is set while a store request has not been answered.
	requestInFlight bool
	// failures counts the failed store requests in a row.
	failures int
	// timerGen is the number of the newest timer; a timer with an older number is ignored when it fires.
	timerGen int
}

// claimWorker returns the worker for the bucket of a key, which it creates on first use.
func (e *entry) claimWorker(key uint64) *claimWorker {
	n := int(key % tune.ClaimBuckets)
	if e.claimWorkers[n] == nil {
		name := strings.Join([]string{"claim", fmt.Sprint(n)}, "/")
		e.claimWorkers[n] = &claimWorker{entry: e, key: name, bucket: idkey.New(fmt.Sprintf("%s.%d", e.name, e.incarnation))}
	}
	return e.claimWorkers[n]
}
