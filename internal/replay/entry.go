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
	"github.com/balsamvale/balsamvale/pkg/traffic/idkey"
	"github.com/balsamvale/balsamvale/pkg/traffic/poison"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// entry is one entry: the product's control, pool and claims, with the replay as its carrier.
type entry struct {
	sim          *Sim
	index        int
	name         string
	domain       int
	incarnation  uint64
	control      *contrl.Control
	pool         *pool.Pool
	poison       *poison.Table
	service      *svcrec.Service
	claimWorkers map[int]*claimWorker
	killed       bool
	// pausedUntil is the time until which the entry does nothing.
	pausedUntil   time.Time
	pollScheduled bool
	// blackholed marks the upstreams whose open connections went silent.
	blackholed map[int]bool
	next       uint64
	// revision is that of the last snapshot, which must not fall.
	revision int64
}

// startEntry brings up an entry; a name that ran before gets a new boot.
func (s *Sim) startEntry(i int) *entry {
	e := &entry{
		sim: s, index: i, name: fmt.Sprintf("entry-%02d", i), domain: i % int(s.trace.GetFleet().GetDomains()),
		incarnation: s.rand.Uint64() >> 1, poison: poison.New(), claimWorkers: map[int]*claimWorker{}, blackholed: map[int]bool{},
	}
	me := member.Member{Name: e.name, Domain: fmt.Sprintf("zone-%d", e.domain), Incarnation: e.incarnation}
	me.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), peerPort)
	e.control = contrl.New(me, rand.New(rand.NewPCG(e.incarnation, 1)), codec.Decode)
	e.pool = pool.New(rand.New(rand.NewPCG(e.incarnation, 2)), s.policy)
	e.control.ReportAge = func(now time.Time, _, up string) (time.Duration, bool) { return e.pool.ReportAge(now, up) }
	e.pool.OnFact = func(f fact.Fact) { e.step(event.Event{Kind: evkind.FactReported, Fact: f}) }
	e.poison.OnCrash = func(fp, n uint64, until time.Time) {
		f := fact.Fact{Topic: topic.Poison, Subject: fmt.Sprint(fp), Value: n, Until: until}
		e.step(event.Event{Kind: evkind.FactReported, Fact: f})
	}
	if i < len(s.entries) {
		s.entries[i] = e
	} else {
		s.entries = append(s.entries, e)
	}
	e.schedule(time.Duration(s.rand.Int64N(int64(tune.Tick))), e.tick)
	return e
}

const peerPort = 7000

// schedule schedules something at the entry; a pause puts it off and death drops it.
func (e *entry) schedule(d time.Duration, do func()) {
	e.sim.events.after(d, func() { e.runIfLive(do) })
}

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

func (e *entry) now() time.Time { return e.sim.events.now }

// tick does what the core's loop does.
func (e *entry) tick() {
	e.schedule(tune.Tick, e.tick)
	e.step(event.Event{Kind: evkind.Tick})
	e.poison.Sweep(e.now())
	e.pool.PublishEvidence(e.now())
	var asks []demand.Demand
	e.pool.VisitDemand(e.now(), func(up string, boot uint64, want int, back []uint64) {
		asks = append(asks, demand.Demand{Service: serviceName, Upstream: up, Incarnation: boot, Want: want, Returned: back})
	})
	for _, a := range asks {
		e.step(event.Event{Kind: evkind.CreditsNeeded, Demand: a})
	}
}

func (e *entry) step(ev event.Event) {
	for _, ef := range e.control.Step(e.now(), ev) {
		e.perform(ef)
	}
}

func (e *entry) perform(ef effect.Effect) {
	switch ef.Action {
	case action.CallStore:
		e.sim.store.do(ef.Request, e.storeUnreachable, func(r kvresp.Response) {
			e.runIfLive(func() { e.step(event.Event{Kind: evkind.StoreResponse, Response: r}) })
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

// partitionSide tells apart the entries that a split keeps from each other.
func (e *entry) partitionSide() int {
	if e.sim.partitioned {
		return e.index % 2
	}
	return 0
}

// storeUnreachable reports whether the entry is cut off from the store.
func (e *entry) storeUnreachable() bool {
	return (e.sim.partitioned || e.sim.storePartitioned) && e.index%2 == 1
}

// isolatedSince reports whether nothing could tell the entry of a change at a time: it has been cut off from the store, and
// from all entries that are not, since before the change.
func (e *entry) isolatedSince(at time.Time) bool {
	return e.sim.partitioned && e.index%2 == 1 && e.sim.partitionedAt.Before(at)
}

func (e *entry) install(ef effect.Effect) {
	if ef.Snapshot.Revision < e.revision {
		e.sim.counters.revisionRegressions++
	}
	e.sim.counters.recordPropagation(e.now(), e.revision, ef.Snapshot.Revision)
	e.revision = ef.Snapshot.Revision
	f := ef.Snapshot.Services[serviceName]
	if f == nil {
		return
	}
	e.service = &f.Service
	e.pool.Install(e.now(), f)
}

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

// reachablePeer finds an entry that a message can reach.
func (e *entry) reachablePeer(name string) *entry {
	for _, p := range e.sim.entries {
		if p.name == name && !p.killed && (!e.sim.partitioned || p.index%2 == e.index%2) {
			return p
		}
	}
	return nil
}

func (e *entry) sendDigest(ef effect.Effect) {
	p := e.reachablePeer(ef.Peer)
	if p == nil {
		e.schedule(tune.PeerTimeout, func() { e.step(event.Event{Kind: evkind.PeerUnreachable, Peer: ef.Peer}) })
		return
	}
	p.schedule(crossDomainDelay, func() {
		for _, out := range p.control.Step(p.now(), event.Event{Kind: evkind.DigestReceived, Digest: ef.Digest}) {
			if out.Action != action.AnswerDigest {
				p.perform(out)
				continue
			}
			e.schedule(crossDomainDelay, func() { e.step(event.Event{Kind: evkind.DigestAnswered, Digest: out.Digest}) })
		}
	})
}

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
			var cs []credit.Credit
			for _, c := range out.Credits {
				cs = append(cs, credit.Credit{ID: c.ID, Until: sent.Add(out.TTL)})
			}
			e.schedule(crossDomainDelay, func() { e.pool.AddCredits(e.now(), ef.Demand.Upstream, ef.Demand.Incarnation, cs) })
		}
	})
}

// probeLatency is how long a probe takes.
const probeLatency = 6 * time.Millisecond

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

// pollQueue lets waiting calls look anew while there are any.
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

// claimWorker serves one bucket of claims.
type claimWorker struct {
	entry    *entry
	key      string
	bucket   *idkey.Bucket
	busy     bool
	failures int
	// timerGen tells a wait whether it is still the last one.
	timerGen int
}

func (e *entry) claimWorker(key uint64) *claimWorker {
	n := int(key % tune.ClaimBuckets)
	if e.claimWorkers[n] == nil {
		name := strings.Join([]string{"claim", fmt.Sprint(n)}, "/")
		e.claimWorkers[n] = &claimWorker{entry: e, key: name, bucket: idkey.New(fmt.Sprintf("%s.%d", e.name, e.incarnation))}
	}
	return e.claimWorkers[n]
}
