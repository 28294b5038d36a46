package contrl

import (
	"github.com/balsamvale/balsamvale/pkg/calls/demand"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/credit"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/logmsg"
	"github.com/balsamvale/balsamvale/pkg/events/msgtyp"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/owner"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// trackShards compares the shards' holders with what this entry thought it held.
func (c *Control) trackShards() {
	for s := range shard.Shard(tune.ShardCount) {
		t := c.config.ShardOwners[keys.Owner(s)]
		mine := t != nil && t.Entry == c.self.Name && t.Incarnation == c.self.Incarnation
		taken, lost := c.elector.Observe(c.now, s, t != nil, mine)
		if taken {
			c.log(logmsg.Message{Type: msgtyp.ShardTaken, Subject: keys.Owner(s), Reason: "first of the live members"})
		}
		if lost {
			c.log(logmsg.Message{Type: msgtyp.ShardReleased, Subject: keys.Owner(s), Reason: "another entry is to hold it"})
		}
	}
}

// claimShard issues the swap that takes or gives up one shard.
func (c *Control) claimShard() {
	if !c.keeper.Valid(c.now) || !c.bootstrapped {
		return
	}
	s, take, ok := c.elector.Next(c.now, c.self.Name, c.config.ActiveMembers())
	if !ok {
		return
	}
	it, _ := c.replica.Get(keys.Owner(s))
	o := kvreq.Request{ID: c.id(), Op: kvop.CompareAndSwap, Key: keys.Owner(s), ExpectedRevision: it.Revision, Delete: !take}
	if take {
		o.LeaseID = c.keeper.ID()
		o.Value = value.Value{Owner: &owner.Owner{Entry: c.self.Name, Incarnation: c.self.Incarnation}}
	}
	c.elector.SetPending(o)
	c.callStore(o)
}

// ownsShardOf reports whether the duty for a name is surely this entry's, and has been for at least wait.
func (c *Control) ownsShardOf(name string, wait time.Duration) bool {
	return c.keeper.Valid(c.now) && c.elector.OwnedFor(c.now, shard.Of(name), wait)
}

// handleCreditRequest answers a peer's request for credits.
func (c *Control) handleCreditRequest(ev event.Event) {
	a := ev.Demand
	c.issuer.Return(a.Upstream, a.Returned)
	e := effect.Effect{Action: action.GrantCredits, CorrelationID: ev.CorrelationID, TTL: tune.CreditTTL}
	u := c.config.Upstreams[a.Upstream]
	if u != nil && a.Want > 0 && c.ownsShardOf(a.Upstream, tune.CreditTTL) {
		e.Credits = c.grant(u, a.Incarnation, a.Want)
	}
	c.emit(e)
}

func (c *Control) grant(u *upsrec.Upstream, boot uint64, want int) []credit.Credit {
	s := c.config.Services[u.Service]
	if s == nil {
		return nil
	}
	return c.issuer.Grant(c.now, u.Name, boot, min(want, tune.MaxCredits), s.ColdConcurrency, tune.CreditTTL)
}

// ownerOf returns the entry that hands out the credits of an upstream, as far as is known.
func (c *Control) ownerOf(upstream string) string {
	t := c.config.ShardOwners[keys.Owner(shard.Of(upstream))]
	if t == nil {
		return ""
	}
	return t.Entry
}

// requestCredits turns the traffic side's demand for credits into a request to their owner.
func (c *Control) requestCredits(a demand.Demand) {
	a.From = c.self.Name
	owner := c.ownerOf(a.Upstream)
	if owner == c.self.Name {
		c.grantLocal(a)
		return
	}
	if m := c.config.Members[owner]; m != nil {
		c.emit(effect.Effect{Action: action.RequestCredits, Peer: owner, Addr: m.Peer, Demand: a})
	}
}

// grantLocal serves this entry's own demand without a message.
func (c *Control) grantLocal(a demand.Demand) {
	c.issuer.Return(a.Upstream, a.Returned)
	u := c.config.Upstreams[a.Upstream]
	if u == nil || a.Want == 0 || !c.ownsShardOf(a.Upstream, tune.CreditTTL) {
		return
	}
	if cs := c.grant(u, a.Incarnation, a.Want); len(cs) > 0 {
		c.emit(effect.Effect{Action: action.DeliverCredits, Demand: a, Credits: cs})
	}
}

// probeOwned spends the measuring budget of the upstreams in this entry's care.
func (c *Control) probeOwned() {
	if c.ReportAge == nil || !c.keeper.Valid(c.now) {
		return
	}
	for _, sh := range c.elector.Owned() {
		if !c.elector.OwnedFor(c.now, sh, time.Second) {
			continue
		}
		for _, name := range c.config.ShardUpstreams(sh) {
			c.probeIfDue(c.config.Upstreams[name])
		}
	}
}

// probeIfDue probes one upstream if its budget and the age of its last report call for it.
func (c *Control) probeIfDue(u *upsrec.Upstream) {
	s := c.config.Services[u.Service]
	if s == nil || u.Drain {
		return
	}
	age, doubt := c.ReportAge(c.now, u.Service, u.Name)
	if c.scheduler.Due(c.now, u.Name, s.ProbeRate, age, doubt) {
		c.emit(effect.Effect{Action: action.ProbeUpstream, Service: u.Service, Upstream: u.Name, Addr: u.Addr})
	}
}
