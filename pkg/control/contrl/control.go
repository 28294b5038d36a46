package contrl

/*
 store responses ----\
 peers' digests ------+--> Step --> Config --> Snapshot --> PublishSnapshot --> pools of the traffic side
 traffic's events ----+      |
 ticks --------------/       +--> Watcher, Keeper, Elector --> requests to the store
                             +--> Table, Replica ------------> digests to peers
                             +--> Issuer, Scheduler ---------> credits, probes

 One goroutine owns a Control and calls Step. Nothing in this package does I/O or waits.
*/

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/config"
	"github.com/balsamvale/balsamvale/pkg/control/elect"
	"github.com/balsamvale/balsamvale/pkg/control/gossip"
	"github.com/balsamvale/balsamvale/pkg/control/issuer"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/control/kvrepl"
	"github.com/balsamvale/balsamvale/pkg/control/lease"
	"github.com/balsamvale/balsamvale/pkg/control/probe"
	"github.com/balsamvale/balsamvale/pkg/control/spread"
	"github.com/balsamvale/balsamvale/pkg/control/watch"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/logmsg"
	"github.com/balsamvale/balsamvale/pkg/events/msgtyp"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/shared/snap"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Control is the control state of one entry.
//
// It is not safe for concurrent use.
type Control struct {
	// ReportAge returns the age of the newest load report of an upstream, and whether the state of the upstream is
	// uncertain, so that it has to be probed more often. No upstream is probed while ReportAge is nil.
	ReportAge func(now time.Time, service, upstream string) (age time.Duration, uncertain bool)

	// Seeds are the peers that are asked for the state of the fleet, one after the other, while the store does not answer the
	// first list.
	Seeds []netip.AddrPort

	self member.Member
	rand *rand.Rand
	// rank is the index of this entry among the active members, or -1 while it is not one of them.
	rank int
	// activeCount is the number of active members.
	activeCount int
	// now is the latest time that was passed to Step.
	now time.Time
	// lastID is the last ID that nextID returned. IDs for which no request was due stay unused.
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
	// source is "store", or the name of the peer that sent the latest changes.
	source string
	// revisionSince is when the revision of the snapshot came into force.
	revisionSince time.Time
	// synced is set once the replica holds the control keys, and bootstrapped once it is also settled which upstreams
	// are cold: by a peer's facts, by the upstreams' own announcements, or without either.
	synced       bool
	bootstrapped bool
	// syncedAt is when synced was set.
	syncedAt time.Time
	// heldDelta is the newest state that a stale peer sent before the first sync. It may hold what has been removed since,
	// so it is only applied once the store does not answer.
	heldDelta delta.Delta
	// heldFrom is the name of the peer that sent heldDelta.
	heldFrom string
	// invalidAges holds the peers whose last digest gave an age that no replica can have.
	invalidAges map[string]bool
	// peersProof is the latest proof that the replica matched the store, from peers' answers.
	peersProof proof.Proof
	// matched is what Matched returns, as of the last Step.
	matched proof.Proof
	// sweepAt is when the state of upstreams that are gone is discarded next.
	sweepAt time.Time
	// gossipAt is when the next exchange with peers is due.
	gossipAt time.Time
	// peerRevisions holds the last known revision of each peer's replica, by entry name.
	peerRevisions map[string]revno.Revision
	fetches       fetches
	era           eraState
	// plan says with whom this entry exchanges, or is nil if the fleet does not exchange by failure domain.
	plan *spread.Plan
	// exchanges counts the regular exchanges by the plan.
	exchanges int
	// peerFacts says which facts each peer and this entry have of each other, by entry name.
	peerFacts map[string]peerFacts
	// pendingFacts are the facts to push at the next tick.
	pendingFacts []fact.Fact
	effects      []effect.Effect
}

// New returns the initial control state of the entry self. The function decode decodes the values of store items.
func New(self member.Member, rnd *rand.Rand, decode func(item.Item) (value.Value, error)) *Control {
	return &Control{
		self:          self,
		rand:          rnd,
		replica:       kvrepl.New(),
		config:        config.New(self.Name, self.Domain, decode),
		watcher:       watch.New(rnd),
		keeper:        lease.New(rnd),
		elector:       elect.New(rnd),
		facts:         gossip.New(firstNumber(self.Incarnation)),
		issuer:        issuer.New(self.Incarnation),
		scheduler:     probe.New(),
		snapshot:      &snap.Snapshot{Services: map[string]*svcfg.Config{}},
		peerRevisions: map[string]revno.Revision{},
		fetches:       fetches{offers: map[string]revno.Revision{}},
		peerFacts:     map[string]peerFacts{},
		invalidAges:   map[string]bool{},
		rollouts:      rolloutStates{},
	}
}

// Step processes an event and returns the effects to carry out. The caller owns the returned slice.
//
// If now is before the time of a previous call, the latest of those times is used instead.
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
		if c.plan != nil {
			c.plan.Avoid(ev.Peer, c.now.Add(tune.AvoidTime))
		}
		c.fetchDone(ev)
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
	c.updateMatched()
	c.publish()
	return c.effects
}

// Abandon returns the effects of a Step that panicked, up to that point.
func (c *Control) Abandon() []effect.Effect { return c.effects }

// tick does the work that is due with time alone.
func (c *Control) tick() {
	c.applyDeferred()
	c.bootstrap()
	c.pushPending()
	c.fetch()
	c.askSeeds()
	if !c.now.Before(c.gossipAt) {
		c.gossip()
	}
	c.probeOwned()
	c.driveRollouts()
	if !c.now.Before(c.sweepAt) {
		c.issuer.Sweep(c.now)
		c.scheduler.Sweep(c.now)
		maps.DeleteFunc(c.invalidAges, func(peer string, _ bool) bool { return c.config.Members[peer] == nil })
		maps.DeleteFunc(c.peerFacts, func(peer string, _ peerFacts) bool { return c.config.Members[peer] == nil })
		c.sweepAt = c.now.Add(sweepInterval)
	}
}

// applyDeferred puts in force what was deferred after an outage or a restoration of the store, and is due.
func (c *Control) applyDeferred() {
	if !c.proof().Within(c.now, tune.MaxConfigAge) {
		c.config.ExtendTransition(c.now)
	}
	applied := c.config.ApplyDeferred(c.now)
	for _, it := range applied {
		switch {
		case it.Tombstone && strings.HasPrefix(it.Key, keys.Record("upstream", "")):
			c.log(logmsg.Message{Type: msgtyp.UpstreamDraining, Subject: it.Key, Reason: "not announced again after the outage of the store"})
		default:
			c.log(logmsg.Message{Type: msgtyp.StoreRestored, Subject: it.Key, Reason: "not written again after the store was restored, so its copy is in force"})
		}
	}
	if len(applied) > 0 {
		c.updatePlan()
		c.updateRank()
	}
	if c.replica.Revision().Era() > 0 {
		c.trackShards()
	}
}

// sweepInterval is the interval at which the state of upstreams that are gone is discarded.
const sweepInterval = 10 * time.Second

// handleResponse passes the response to a store request on to the component that issued the request.
func (c *Control) handleResponse(ev event.Event) {
	resp := ev.Response
	switch {
	case c.watcher.Awaits(resp.ID):
		if d, ok := c.watcher.HandleResponse(c.now, resp); ok {
			if length, ended := c.watcher.OutageEnded(); ended {
				if length >= tune.MinLapseOutage {
					c.config.DeferRemovals(c.now.Add(tune.ReannounceGrace))
				}
				c.log(logmsg.Message{Type: msgtyp.DependencyRestored, Subject: "store", Reason: "a list or watch request succeeded again"})
			}
			c.applyDelta(d, storeSource)
		} else if c.watcher.Failing() {
			c.applyHeldDelta()
			c.askSeeds()
		}
		if c.watcher.OutageBegan() {
			c.log(logmsg.Message{Type: msgtyp.DependencyLost, Subject: "store", Reason: "a list or watch request got no valid response"})
		}
	case c.keeper.Awaits(resp.ID):
		if c.keeper.HandleResponse(c.now, resp) {
			c.log(logmsg.Message{Type: msgtyp.LeaseLost, Subject: c.self.Name, Reason: "the store no longer has the lease"})
		}
	case c.elector.Awaits(resp.ID):
		c.elector.HandleResponse(c.now, resp)
	default:
		c.rollouts.handleResponse(c.now, resp)
	}
}

// storeSource is the source of changes that this entry has read from the store itself.
const storeSource = "store"

// issueRequests issues the store requests that are due.
func (c *Control) issueRequests() {
	if c.watchesStore() {
		c.watcher.Pause, c.watcher.Wait, c.watcher.Renew = c.watchPause(), c.watchWait(), c.watchRenew()
		if req, ok := c.watcher.Next(c.now, c.nextID(), c.replica.Revision()); ok {
			c.callStore(req)
		}
	}
	it, _ := c.replica.Get(memberKey(c.self.Name))
	if !c.synced {
		return
	}
	needsOwners := c.config.NeedsShardOwners()
	if req, ok := c.keeper.Next(c.now, c.nextID(), c.self, it.Revision, leaseTTL(needsOwners, len(c.config.Members))); ok {
		c.callStore(req)
	}
	if needsOwners {
		c.claimShard()
	}
}

// leaseTTL returns the lifetime of the entry's lease: tune.MemberTTL, or, while shards need owners, a multiple of
// tune.LeaseTTL that grows with the number of members.
func leaseTTL(needsOwners bool, members int) time.Duration {
	if !needsOwners {
		return tune.MemberTTL
	}
	return tune.LeaseTTL * time.Duration(max(1, members/tune.LeaseScaleEntries))
}

// nextID returns a new request ID.
func (c *Control) nextID() uint64 {
	c.lastID++
	return c.lastID
}

func (c *Control) callStore(req kvreq.Request) {
	c.emit(effect.Effect{Action: action.CallStore, Request: req})
}

func (c *Control) emit(e effect.Effect) { c.effects = append(c.effects, e) }

func (c *Control) log(m logmsg.Message) { c.emit(effect.Effect{Action: action.Log, Message: m}) }

// publish puts a new snapshot in force if a service, the revision of the configuration or the number of what is not in force changed.
func (c *Control) publish() {
	if !c.bootstrapped {
		return
	}
	changed := c.config.TakeDirty()
	if len(changed) == 0 && c.snapshot.Revision == c.config.Revision && c.snapshot.NotInForce == c.config.CountNotInForce() {
		return
	}
	next := &snap.Snapshot{
		Revision: c.config.Revision, Rules: c.config.Rules(), Bounds: c.config.Bounds, Accounts: c.config.Accounts(), Services: make(map[string]*svcfg.Config, len(c.snapshot.Services)),
		OperatorRevision: c.config.OperatorRevision, Version: c.config.Version, Source: c.source, NotInForce: c.config.CountNotInForce(),
	}
	for name, cfg := range c.snapshot.Services {
		next.Services[name] = cfg
	}
	for _, name := range changed {
		if cfg := c.config.ServiceConfig(name, c.rolledBack); cfg != nil {
			next.Services[name] = cfg
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
