package contrl

import (
	"github.com/balsamvale/balsamvale/pkg/calls/demand"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/credit"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/events/deed"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/note"
	"github.com/balsamvale/balsamvale/pkg/events/what"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/order"
	"github.com/balsamvale/balsamvale/pkg/stored/tenure"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
	"github.com/balsamvale/balsamvale/pkg/stored/verb"
)

// trackDuties compares the shards' holders with what this entry thought it held.
func (c *Control) trackDuties() {
	for s := range shard.Shard(tune.Shards) {
		t := c.config.Tenures[keys.Duty(s)]
		mine := t != nil && t.Owner == c.me.Name && t.Boot == c.me.Boot
		taken, lost := c.duties.See(c.now, s, t != nil, mine)
		if taken {
			c.log(note.Note{What: what.Duty, Subject: keys.Duty(s), Reason: "first of the live members"})
		}
		if lost {
			c.log(note.Note{What: what.Yield, Subject: keys.Duty(s), Reason: "another entry is to hold it"})
		}
	}
}

// takeDuty issues the swap that takes or gives up one shard.
func (c *Control) takeDuty() {
	if !c.keeper.Valid(c.now) || !c.introduced {
		return
	}
	s, take, ok := c.duties.Next(c.now, c.me.Name, c.config.Live())
	if !ok {
		return
	}
	it, _ := c.catalog.Get(keys.Duty(s))
	o := order.Order{ID: c.id(), Verb: verb.Swap, Key: keys.Duty(s), Expect: it.Revision, Gone: !take}
	if take {
		o.Lease = c.keeper.ID()
		o.Value = value.Value{Tenure: &tenure.Tenure{Owner: c.me.Name, Boot: c.me.Boot}}
	}
	c.duties.Sent(o)
	c.call(o)
}

// owns reports whether the duty for a name is surely this entry's, and has been for at least wait.
func (c *Control) owns(name string, wait time.Duration) bool {
	return c.keeper.Valid(c.now) && c.duties.Holds(c.now, shard.Of(name), wait)
}

// asked answers a peer's request for credits.
func (c *Control) asked(ev event.Event) {
	a := ev.Ask
	c.ledger.Back(a.Upstream, a.Returned)
	e := effect.Effect{Deed: deed.Give, Tag: ev.Tag, TTL: tune.CreditLife}
	u := c.config.Upstreams[a.Upstream]
	if u != nil && a.Want > 0 && c.owns(a.Upstream, tune.CreditLife) {
		e.Credits = c.grant(u, a.Incarnation, a.Want)
	}
	c.emit(e)
}

func (c *Control) grant(u *upsrec.Upstream, boot uint64, want int) []credit.Credit {
	s := c.config.Services[u.Service]
	if s == nil {
		return nil
	}
	return c.ledger.Grant(c.now, u.Name, boot, min(want, tune.CreditMost), s.Cold, tune.CreditLife)
}

// owner returns the entry that hands out the credits of an upstream, as far as is known.
func (c *Control) owner(upstream string) string {
	t := c.config.Tenures[keys.Duty(shard.Of(upstream))]
	if t == nil {
		return ""
	}
	return t.Owner
}

// wanted turns the traffic side's demand for credits into a request to their owner.
func (c *Control) wanted(a demand.Demand) {
	a.From = c.me.Name
	owner := c.owner(a.Upstream)
	if owner == c.me.Name {
		c.grantOwn(a)
		return
	}
	if m := c.config.Members[owner]; m != nil {
		c.emit(effect.Effect{Deed: deed.Ask, Peer: owner, Addr: m.Peer, Ask: a})
	}
}

// grantOwn serves this entry's own demand without a message.
func (c *Control) grantOwn(a demand.Demand) {
	c.ledger.Back(a.Upstream, a.Returned)
	u := c.config.Upstreams[a.Upstream]
	if u == nil || a.Want == 0 || !c.owns(a.Upstream, tune.CreditLife) {
		return
	}
	if cs := c.grant(u, a.Incarnation, a.Want); len(cs) > 0 {
		c.emit(effect.Effect{Deed: deed.Credit, Ask: a, Credits: cs})
	}
}

// probes spends the measuring budget of the upstreams in this entry's care.
func (c *Control) probes() {
	if c.Stale == nil || !c.keeper.Valid(c.now) {
		return
	}
	for _, sh := range c.duties.Held() {
		if !c.duties.Holds(c.now, sh, time.Second) {
			continue
		}
		for _, name := range c.config.Shard(sh) {
			c.probe(c.config.Upstreams[name])
		}
	}
}

// probe probes one upstream if its budget and the age of its last report call for it.
func (c *Control) probe(u *upsrec.Upstream) {
	s := c.config.Services[u.Service]
	if s == nil || u.Leave {
		return
	}
	age, doubt := c.Stale(c.now, u.Service, u.Name)
	if c.planner.Due(c.now, u.Name, s.Budget, age, doubt) {
		c.emit(effect.Effect{Deed: deed.Probe, Service: u.Service, Upstream: u.Name, Addr: u.Addr})
	}
}
