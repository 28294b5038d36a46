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
	"github.com/balsamvale/balsamvale/pkg/events/deed"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/signal"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/reply"
	"github.com/balsamvale/balsamvale/pkg/traffic/bucket"
	"github.com/balsamvale/balsamvale/pkg/traffic/poison"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// entry is one entry: the product's control, pool and claims, with the replay as its carrier.
type entry struct {
	sim     *Sim
	index   int
	name    string
	domain  int
	boot    uint64
	control *contrl.Control
	pool    *pool.Pool
	poison  *poison.Table
	service *svcrec.Service
	buckets map[int]*keeper
	dead    bool
	// paused is the time until which the entry does nothing.
	paused time.Time
	pumped bool
	// silent marks the upstreams whose open connections went silent.
	silent map[int]bool
	next   uint64
	// revision is that of the last snapshot, which must not fall.
	revision int64
}

// startEntry brings up an entry; a name that ran before gets a new boot.
func (s *Sim) startEntry(i int) *entry {
	e := &entry{
		sim: s, index: i, name: fmt.Sprintf("entry-%02d", i), domain: i % int(s.trace.GetFleet().GetDomains()),
		boot: s.rand.Uint64() >> 1, poison: poison.New(), buckets: map[int]*keeper{}, silent: map[int]bool{},
	}
	me := member.Member{Name: e.name, Domain: fmt.Sprintf("zone-%d", e.domain), Incarnation: e.boot}
	me.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), peerPort)
	e.control = contrl.New(me, rand.New(rand.NewPCG(e.boot, 1)), codec.Decode)
	e.pool = pool.New(rand.New(rand.NewPCG(e.boot, 2)), s.policy)
	e.control.ReportAge = func(now time.Time, _, up string) (time.Duration, bool) { return e.pool.ReportAge(now, up) }
	e.pool.OnFact = func(f fact.Fact) { e.step(event.Event{Kind: signal.FactReported, Fact: f}) }
	e.poison.OnCrash = func(fp, n uint64, until time.Time) {
		f := fact.Fact{Topic: topic.Poison, Subject: fmt.Sprint(fp), Value: n, Until: until}
		e.step(event.Event{Kind: signal.FactReported, Fact: f})
	}
	if i < len(s.entries) {
		s.entries[i] = e
	} else {
		s.entries = append(s.entries, e)
	}
	e.later(time.Duration(s.rand.Int64N(int64(tune.Tick))), e.tick)
	return e
}

const peerPort = 7000

// later schedules something at the entry; a pause puts it off and death drops it.
func (e *entry) later(d time.Duration, do func()) {
	e.sim.agenda.after(d, func() { e.live(do) })
}

func (e *entry) live(do func()) {
	now := e.sim.agenda.now
	switch {
	case e.dead:
	case now.Before(e.paused):
		e.sim.agenda.after(e.paused.Sub(now), func() { e.live(do) })
	default:
		do()
	}
}

func (e *entry) now() time.Time { return e.sim.agenda.now }

// tick does what the core's loop does.
func (e *entry) tick() {
	e.later(tune.Tick, e.tick)
	e.step(event.Event{Kind: signal.Tick})
	e.poison.Sweep(e.now())
	e.pool.PublishEvidence(e.now())
	var asks []demand.Demand
	e.pool.VisitDemand(e.now(), func(up string, boot uint64, want int, back []uint64) {
		asks = append(asks, demand.Demand{Service: serviceName, Upstream: up, Incarnation: boot, Want: want, Returned: back})
	})
	for _, a := range asks {
		e.step(event.Event{Kind: signal.CreditsNeeded, Demand: a})
	}
}

func (e *entry) step(ev event.Event) {
	for _, ef := range e.control.Step(e.now(), ev) {
		e.perform(ef)
	}
}

func (e *entry) perform(ef effect.Effect) {
	switch ef.Action {
	case deed.CallStore:
		e.sim.store.do(ef.Request, e.cut, func(r reply.Response) {
			e.live(func() { e.step(event.Event{Kind: signal.StoreResponse, Response: r}) })
		})
	case deed.SendDigest:
		e.send(ef)
	case deed.PublishSnapshot:
		e.install(ef)
	case deed.DeliverFact:
		e.spread(ef.Fact)
	case deed.ProbeUpstream:
		e.probe(ef.Upstream)
	case deed.RequestCredits:
		e.ask(ef)
	case deed.DeliverCredits:
		e.pool.AddCredits(e.now(), ef.Demand.Upstream, ef.Demand.Incarnation, ef.Credits)
	case deed.Log:
		e.sim.log("%s place %v %s: %s", e.name, ef.Message.Type, ef.Message.Subject, ef.Message.Reason)
	}
}

// side tells apart the entries that a split keeps from each other.
func (e *entry) side() int {
	if e.sim.split {
		return e.index % 2
	}
	return 0
}

// cut reports whether the entry is cut off from the store.
func (e *entry) cut() bool { return (e.sim.split || e.sim.severed) && e.index%2 == 1 }

// unaware reports whether nothing could tell the entry of a change at a time: it has been cut off from the store, and
// from all entries that are not, since before the change.
func (e *entry) unaware(at time.Time) bool {
	return e.sim.split && e.index%2 == 1 && e.sim.splitAt.Before(at)
}

func (e *entry) install(ef effect.Effect) {
	if ef.Snapshot.Revision < e.revision {
		e.sim.figures.reverts++
	}
	e.sim.figures.installed(e.now(), e.revision, ef.Snapshot.Revision)
	e.revision = ef.Snapshot.Revision
	f := ef.Snapshot.Services[serviceName]
	if f == nil {
		return
	}
	e.service = &f.Service
	e.pool.Install(e.now(), f)
}

func (e *entry) spread(f fact.Fact) {
	if f.Topic != topic.Poison {
		e.pool.Merge(e.now(), f)
		return
	}
	var fp uint64
	if _, err := fmt.Sscan(f.Subject, &fp); err == nil && f.Origin != e.name {
		e.poison.Merge(fp, f.Origin, f.Value, f.Until)
	}
}

// peer finds an entry that a message can reach.
func (e *entry) peer(name string) *entry {
	for _, p := range e.sim.entries {
		if p.name == name && !p.dead && (!e.sim.split || p.index%2 == e.index%2) {
			return p
		}
	}
	return nil
}

func (e *entry) send(ef effect.Effect) {
	p := e.peer(ef.Peer)
	if p == nil {
		e.later(tune.PeerTimeout, func() { e.step(event.Event{Kind: signal.PeerUnreachable, Peer: ef.Peer}) })
		return
	}
	p.later(farDelay, func() {
		for _, out := range p.control.Step(p.now(), event.Event{Kind: signal.DigestReceived, Digest: ef.Digest}) {
			if out.Action != deed.AnswerDigest {
				p.perform(out)
				continue
			}
			e.later(farDelay, func() { e.step(event.Event{Kind: signal.DigestAnswered, Digest: out.Digest}) })
		}
	})
}

func (e *entry) ask(ef effect.Effect) {
	p := e.peer(ef.Peer)
	if p == nil {
		return
	}
	sent := e.now()
	p.later(farDelay, func() {
		for _, out := range p.control.Step(p.now(), event.Event{Kind: signal.CreditsRequested, Demand: ef.Demand}) {
			if out.Action != deed.GrantCredits {
				p.perform(out)
				continue
			}
			var cs []credit.Credit
			for _, c := range out.Credits {
				cs = append(cs, credit.Credit{ID: c.ID, Until: sent.Add(out.TTL)})
			}
			e.later(farDelay, func() { e.pool.AddCredits(e.now(), ef.Demand.Upstream, ef.Demand.Incarnation, cs) })
		}
	})
}

// probeTime is how long a probe takes.
const probeTime = 6 * time.Millisecond

func (e *entry) probe(name string) {
	u := e.sim.byName[name]
	u.probes = append(u.probes, e.now())
	e.later(probeTime, func() {
		r := &result.Result{Status: 200, Report: u.report()}
		if u.down {
			r = &result.Result{Cause: cause.ConnBroken}
		}
		e.pool.RecordProbe(e.now(), name, r)
	})
}

// watchQueue lets waiting calls look anew while there are any.
func (e *entry) watchQueue() {
	if e.pumped {
		return
	}
	e.pumped = true
	e.later(tune.QueuePoll, func() {
		e.pumped = false
		if e.pool.DispatchWaiting(e.now()) > 0 {
			e.watchQueue()
		}
	})
}

// keeper serves one bucket of claims.
type keeper struct {
	entry  *entry
	key    string
	bucket *bucket.Bucket
	busy   bool
	tries  int
	// turn tells a wait whether it is still the last one.
	turn int
}

func (e *entry) keeper(key uint64) *keeper {
	n := int(key % tune.ClaimBuckets)
	if e.buckets[n] == nil {
		name := strings.Join([]string{"claim", fmt.Sprint(n)}, "/")
		e.buckets[n] = &keeper{entry: e, key: name, bucket: bucket.New(fmt.Sprintf("%s.%d", e.name, e.boot))}
	}
	return e.buckets[n]
}
