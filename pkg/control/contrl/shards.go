package contrl

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/credit"
	"github.com/balsamvale/balsamvale/pkg/calls/demand"
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

// trackShards passes the owners of all shards in the replica to the elector, and logs those that this entry took or lost.
func (c *Control) trackShards() {
	for s := range shard.Shard(tune.ShardCount) {
		o := c.ownerInForce(s)
		mine := o != nil && o.Entry == c.self.Name && o.Incarnation == c.self.Incarnation
		taken, lost := c.elector.Observe(c.now, s, o != nil, mine)
		if taken {
			c.log(logmsg.Message{Type: msgtyp.ShardTaken, Subject: keys.Owner(s), Reason: "first of the live members"})
		}
		if lost {
			c.log(logmsg.Message{Type: msgtyp.ShardReleased, Subject: keys.Owner(s), Reason: "another entry is to hold it"})
		}
	}
}

// claimShard issues a conditional write that takes or releases one shard, if the elector has one.
func (c *Control) claimShard() {
	if !c.keeper.Valid(c.now) || !c.bootstrapped {
		return
	}
	s, take, ok := c.elector.Next(c.now, c.self.Name, c.config.ActiveMembers())
	if !ok {
		return
	}
	it, _ := c.replica.Get(keys.Owner(s))
	req := kvreq.Request{ID: c.nextID(), Op: kvop.CompareAndSwap, Key: keys.Owner(s), ExpectedRevision: it.Revision, Delete: !take}
	if take {
		req.LeaseID, req.LeaseEra = c.keeper.ID(), c.keeper.Era()
		req.Value = value.Value{Owner: &owner.Owner{Entry: c.self.Name, Incarnation: c.self.Incarnation}}
	}
	c.elector.SetPending(req)
	c.callStore(req)
}

// ownsShardOf reports whether this entry is certain to own the shard of a name, and has owned it for at least minAge.
func (c *Control) ownsShardOf(name string, minAge time.Duration) bool {
	return c.keeper.Valid(c.now) && c.elector.OwnedFor(c.now, shard.Of(name), minAge)
}

// handleCreditRequest takes back the credits that a peer returns, and answers its request for new ones.
func (c *Control) handleCreditRequest(ev event.Event) {
	d := ev.Demand
	c.issuer.Return(d.Upstream, d.Returned)
	e := effect.Effect{Action: action.GrantCredits, CorrelationID: ev.CorrelationID, Remote: c.isRemote(ev.Demand.From), TTL: tune.CreditTTL}
	u := c.config.Upstreams[d.Upstream]
	if u != nil && d.Want > 0 && c.ownsShardOf(d.Upstream, tune.CreditTTL) {
		e.Credits = c.grant(u, d.Incarnation, d.Want)
	}
	c.emit(e)
}

// grant issues up to want credits for an upstream, within the limit of its service.
func (c *Control) grant(u *upsrec.Upstream, incarnation uint64, want int) []credit.Credit {
	s := c.config.Services[u.Service]
	if s == nil {
		return nil
	}
	return c.issuer.Grant(c.now, u.Name, incarnation, min(want, tune.MaxCredits), s.ColdConcurrency, tune.CreditTTL)
}

// ownerOf returns the name of the entry that owns the shard of an upstream, or "" if none is known.
func (c *Control) ownerOf(upstream string) string {
	o := c.config.ShardOwners[keys.Owner(shard.Of(upstream))]
	if o == nil {
		return ""
	}
	return o.Entry
}

// requestCredits sends the traffic side's demand for credits to the owner of the upstream's shard.
func (c *Control) requestCredits(d demand.Demand) {
	d.From = c.self.Name
	ownerName := c.ownerOf(d.Upstream)
	if ownerName == c.self.Name {
		c.grantLocal(d)
		return
	}
	if m := c.config.Members[ownerName]; m != nil {
		c.emit(effect.Effect{Action: action.RequestCredits, Peer: ownerName, Remote: c.isRemote(ownerName), Addr: m.Peer, Demand: d})
	}
}

// grantLocal serves a demand of this entry itself, without a message to a peer.
func (c *Control) grantLocal(d demand.Demand) {
	c.issuer.Return(d.Upstream, d.Returned)
	u := c.config.Upstreams[d.Upstream]
	if u == nil || d.Want == 0 || !c.ownsShardOf(d.Upstream, tune.CreditTTL) {
		return
	}
	if credits := c.grant(u, d.Incarnation, d.Want); len(credits) > 0 {
		c.emit(effect.Effect{Action: action.DeliverCredits, Demand: d, Credits: credits})
	}
}

// probeOwned probes the upstreams that are due in the shards that this entry has owned for at least a second.
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

// probeIfDue probes an upstream that is not draining, if its probe rate and the age of its last report call for it.
func (c *Control) probeIfDue(u *upsrec.Upstream) {
	s := c.config.Services[u.Service]
	if s == nil || u.Drain {
		return
	}
	age, uncertain := c.ReportAge(c.now, u.Service, u.Name)
	if c.scheduler.Due(c.now, u.Name, s.ProbeRate, age, uncertain) {
		c.emit(effect.Effect{Action: action.ProbeUpstream, Service: u.Service, Upstream: u.Name, Addr: u.Addr})
	}
}
