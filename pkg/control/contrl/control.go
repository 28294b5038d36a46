package contrl

/*
 store replies --\
 peers' digests --+--> Step --> Config --> Fleet --> Publish --> traffic's pools
 traffic's news --+      |
 ticks ----------/       +--> Feed, Keeper, Duties --> store calls
                         +--> Rumor, Catalog ---------> digests to peers
                         +--> Ledger, Planner --------> credits, probes

 One goroutine owns a Control and calls Step; nothing in here does I/O or waits.
*/

import (
	"math/rand/v2"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/config"
	"github.com/balsamvale/balsamvale/pkg/control/elect"
	"github.com/balsamvale/balsamvale/pkg/control/gossip"
	"github.com/balsamvale/balsamvale/pkg/control/issuer"
	"github.com/balsamvale/balsamvale/pkg/control/kvrepl"
	"github.com/balsamvale/balsamvale/pkg/control/lease"
	"github.com/balsamvale/balsamvale/pkg/control/probe"
	"github.com/balsamvale/balsamvale/pkg/control/watch"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/logmsg"
	"github.com/balsamvale/balsamvale/pkg/events/msgtyp"
	"github.com/balsamvale/balsamvale/pkg/shared/snap"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Control is the control state of one entry.
type Control struct {
	// Stale, when set, tells the age of an upstream's newest report, and whether it needs proof.
	ReportAge func(now time.Time, service, upstream string) (age time.Duration, doubt bool)

	self member.Member
	rand *rand.Rand
	// rank is the place of this entry among the live members; -1 while it is not one.
	rank   int
	now    time.Time
	lastID uint64

	replica   *kvrepl.Replica
	config    *config.Config
	watcher   *watch.Watcher
	keeper    *lease.Keeper
	elector   *elect.Elector
	facts     *gossip.Table
	issuer    *issuer.Issuer
	scheduler *probe.Scheduler
	rollouts  rolloutStates

	snapshot *snap.Snapshot
	// revisionSince is when the newest record came into force.
	revisionSince time.Time
	// synced is set once the catalog is known, and introduced once a peer's facts are, or none is left to ask.
	synced        bool
	bootstrapped  bool
	syncedAt      time.Time
	knownFreshAt  time.Time
	gossipAt      time.Time
	peerRevisions map[string]int64
	// pendingFacts are facts to push with the next tick.
	pendingFacts []fact.Fact
	effects      []effect.Effect
}

// New returns the control state of an entry; decode turns items of the store into values.
func New(me member.Member, rnd *rand.Rand, decode func(item.Item) (value.Value, error)) *Control {
	return &Control{
		self:          me,
		rand:          rnd,
		replica:       kvrepl.New(),
		config:        config.New(me.Name, me.Domain, decode),
		watcher:       watch.New(rnd),
		keeper:        lease.New(rnd),
		elector:       elect.New(rnd),
		facts:         gossip.New(),
		issuer:        issuer.New(me.Incarnation),
		scheduler:     probe.New(),
		snapshot:      &snap.Snapshot{Services: map[string]*svcfg.Config{}},
		peerRevisions: map[string]int64{},
		rollouts:      rolloutStates{},
	}
}

// Step takes in an event and returns what is to be done; the slice is the caller's.
func (c *Control) Step(now time.Time, ev event.Event) []effect.Effect {
	if now.After(c.now) {
		c.now = now
	}
	c.effects = nil
	switch ev.Kind {
	case evkind.Tick:
		c.tick()
	case evkind.StoreResponse:
		c.handleResponse(ev)
	case evkind.DigestReceived:
		c.handleDigest(ev)
	case evkind.DigestAnswered:
		c.handleDigestAnswer(ev)
	case evkind.PeerUnreachable:
		delete(c.peerRevisions, ev.Peer)
	case evkind.FactReported:
		c.addFact(ev.Fact)
	case evkind.CreditsRequested:
		c.handleCreditRequest(ev)
	case evkind.CreditsNeeded:
		c.requestCredits(ev.Demand)
	case evkind.Stop:
		c.self.Draining = true
	}
	c.issueRequests()
	c.publish()
	return c.effects
}

// tick does what time alone brings about.
func (c *Control) tick() {
	for _, key := range c.config.ApplyDeferred(c.now) {
		c.log(logmsg.Message{Type: msgtyp.UpstreamDraining, Subject: key, Reason: "still missing from the store after its outage"})
	}
	c.bootstrap()
	c.pushPending()
	if !c.now.Before(c.gossipAt) {
		c.gossip()
	}
	c.probeOwned()
	c.driveRollouts()
}

// handleResponse hands the outcome of a store call to whoever made it.
func (c *Control) handleResponse(ev event.Event) {
	r := ev.Response
	switch {
	case c.watcher.Awaits(r.ID):
		if ch, ok := c.watcher.HandleResponse(c.now, r); ok {
			c.knownFreshAt = c.now
			if c.watcher.OutageEnded() {
				c.config.DeferRemovals(c.now.Add(tune.ReannounceGrace))
				c.log(logmsg.Message{Type: msgtyp.DependencyRestored, Subject: "store", Reason: "a watch was answered again"})
			}
			c.applyDelta(ch)
		} else if c.watcher.OutageBegan() {
			c.log(logmsg.Message{Type: msgtyp.DependencyLost, Subject: "store", Reason: "calls are not answered"})
		}
	case c.keeper.Awaits(r.ID):
		if c.keeper.HandleResponse(c.now, r) {
			c.log(logmsg.Message{Type: msgtyp.LeaseLost, Subject: c.self.Name, Reason: "the store no longer knows the lease"})
		}
	case c.elector.Awaits(r.ID):
		c.elector.HandleResponse(c.now, r)
	default:
		c.rollouts.handleResponse(c.now, r)
	}
}

// issueRequests issues the store calls that are due.
func (c *Control) issueRequests() {
	if c.watchesStore() {
		if o, ok := c.watcher.Next(c.now, c.id(), c.replica.Revision()); ok {
			c.callStore(o)
		}
	}
	it, _ := c.replica.Get(memberKey(c.self.Name))
	if !c.synced {
		return
	}
	owned := c.config.NeedsShardOwners()
	if o, ok := c.keeper.Next(c.now, c.id(), c.self, it.Revision, leaseTTL(owned, len(c.config.Members))); ok {
		c.callStore(o)
	}
	if owned {
		c.claimShard()
	}
}

// leaseTTL is the life of the entry's lease, which is short only while it stands for duties.
func leaseTTL(owned bool, fleet int) time.Duration {
	if !owned {
		return tune.MemberTTL
	}
	return tune.LeaseTTL * time.Duration(max(1, fleet/tune.LeaseScaleEntries))
}

func (c *Control) id() uint64 {
	c.lastID++
	return c.lastID
}

func (c *Control) callStore(o kvreq.Request) {
	c.emit(effect.Effect{Action: action.CallStore, Request: o})
}

func (c *Control) emit(e effect.Effect) { c.effects = append(c.effects, e) }

func (c *Control) log(n logmsg.Message) { c.emit(effect.Effect{Action: action.Log, Message: n}) }

// publish puts a new snapshot in force when the services changed.
func (c *Control) publish() {
	if !c.bootstrapped {
		return
	}
	changed := c.config.TakeDirty()
	if len(changed) == 0 && c.snapshot.Revision == c.config.Revision {
		return
	}
	next := &snap.Snapshot{Revision: c.config.Revision, Rules: c.config.Rules(), Bounds: c.config.Bounds, Services: make(map[string]*svcfg.Config, len(c.snapshot.Services))}
	for name, f := range c.snapshot.Services {
		next.Services[name] = f
	}
	for _, name := range changed {
		if f := c.config.ServiceConfig(name, c.rolledBack); f != nil {
			next.Services[name] = f
		} else {
			delete(next.Services, name)
		}
	}
	if next.Revision != c.snapshot.Revision {
		c.revisionSince = c.now
	}
	c.snapshot = next
	c.emit(effect.Effect{Action: action.PublishSnapshot, Snapshot: next, Changed: changed})
}
