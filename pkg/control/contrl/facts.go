package contrl

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/logmsg"
	"github.com/balsamvale/balsamvale/pkg/events/msgtyp"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
)

// firstNumber returns the number from which an entry numbers its facts. It differs so much between two starts that what a peer says of
// the facts of the previous one is not taken for the present ones.
func firstNumber(incarnation uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64(nil, incarnation)) / 2
}

// peerFacts says which facts a peer and this entry have of each other, by the numbers of their tables.
type peerFacts struct {
	// ours is the number up to which the peer has the facts of this entry, as it has said last.
	ours uint64
	// theirs is the number up to which this entry has the facts of the peer.
	theirs uint64
}

// setFacts adds the facts to a digest that the peer is not known to have. In a fleet that does not exchange by failure domain, it adds
// all that are live.
func (c *Control) setFacts(d *digest.Digest, peer string) {
	if c.plan == nil {
		d.Facts = c.facts.Live(c.now, tune.MaxFacts)
		return
	}
	since := c.peerFacts[peer].ours
	if d.Facts, d.FactsUpto = c.facts.News(c.now, peer, since, tune.MaxFacts); d.FactsUpto > 0 {
		d.FactsSince = since
	}
}

// mergeFacts adds the facts of a peer, and records which the peer and this entry have of each other by then.
//
// What a peer has is known from its own word only: a digest may be lost, and a peer that has started anew has none.
func (c *Control) mergeFacts(d digest.Digest) {
	known := c.peerFacts[d.From]
	if d.FactsAck == 0 || d.FactsAck < known.ours {
		c.facts.Forget(d.From)
	}
	for _, f := range d.Facts {
		c.addFact(f)
		c.facts.HeldBy(f, d.From)
	}
	if d.From == "" || c.plan == nil {
		return
	}
	known.ours = d.FactsAck
	if known.ours > c.facts.Last() {
		known.ours = 0 // of an earlier start of this entry
	}
	switch {
	case d.FactsUpto == 0:
	case d.FactsSince == 0:
		known.theirs = d.FactsUpto
	case d.FactsSince <= known.theirs:
		known.theirs = max(known.theirs, d.FactsUpto)
	}
	c.peerFacts[d.From] = known
}

// addFact adds a fact. If it is new, it is delivered to the traffic side, logged and passed on to peers. Evidence is not
// kept, but passed to sendEvidence; pressure is neither logged nor pushed, but part of the next exchanges.
func (c *Control) addFact(f fact.Fact) {
	if f.Origin == "" {
		f.Origin = c.self.Name
	}
	if f.Topic == topic.Evidence {
		c.sendEvidence(f)
		return
	}
	if !c.facts.Add(c.now, f) {
		return
	}
	if f.Topic == topic.Pressure {
		// It is news several times a second, and old by the time that a push would have spread it.
		c.emit(effect.Effect{Action: action.DeliverFact, Fact: f, Service: f.Subject})
		return
	}
	if f.Topic == topic.ColdStart {
		c.config.SetColdUntil(f.Subject, f.Value, f.Until)
	}
	c.emit(effect.Effect{Action: action.DeliverFact, Fact: f, Service: c.serviceOf(f)})
	c.log(logmsg.Message{Type: topicMessageType(f.Topic), Subject: f.Subject, Reason: reasonOf(f)})
	c.gossipFact(f)
	if f.Topic == topic.RolledBack {
		for name, r := range c.config.Rollouts {
			if name == f.Subject || slices.Contains(c.config.Predecessors(name), f.Subject) {
				c.config.MarkDirty(r.Service)
			}
		}
	}
}

// sendEvidence sends this entry's evidence about a new version to the entries that analyze the version for all. Evidence
// of another entry is delivered to the traffic side only.
//
// Evidence is sent directly and once, because evidence that arrived twice would count twice.
func (c *Control) sendEvidence(f fact.Fact) {
	r := c.config.Rollouts[f.Subject]
	if r == nil {
		return
	}
	if f.Origin != c.self.Name {
		c.emit(effect.Effect{Action: action.DeliverFact, Fact: f, Service: r.Service})
		return
	}
	active := c.config.ActiveMembers()
	for _, name := range active {
		if shard.Of(r.Service).Rank(active, name) >= tune.PooledEvaluators {
			continue
		}
		if name == c.self.Name {
			c.emit(effect.Effect{Action: action.DeliverFact, Fact: f, Service: r.Service})
		} else {
			c.send(name, digest.Digest{Facts: []fact.Fact{f}})
		}
	}
}

// gossipFact passes a fact on to peers: the rollback of a rollout at once, other facts together at the next tick.
//
// A poison fact with fewer than tune.MaxCrashes crashes waits for the next exchange, because a lost upstream causes one
// for each call that it was running.
func (c *Control) gossipFact(f fact.Fact) {
	switch {
	case f.Topic == topic.RolledBack:
		c.pushFacts([]fact.Fact{f})
	case f.Topic == topic.Poison && f.Value < tune.MaxCrashes:
	default:
		c.pendingFacts = append(c.pendingFacts, f)
	}
}

// pushPending pushes the pending facts in one message; those beyond tune.MaxFacts wait for the next tick.
func (c *Control) pushPending() {
	if len(c.pendingFacts) == 0 {
		return
	}
	n := min(len(c.pendingFacts), tune.MaxFacts)
	c.pushFacts(c.pendingFacts[:n])
	c.pendingFacts = append([]fact.Fact(nil), c.pendingFacts[n:]...)
}

// reasonOf returns the reason to log for a fact: its detail and the entry that saw it first.
func reasonOf(f fact.Fact) string {
	if f.Detail != "" {
		return f.Detail + ", seen by " + f.Origin
	}
	return "seen by " + f.Origin
}

// serviceOf returns the service of the upstream that a fact is about, or "" if there is no such upstream.
func (c *Control) serviceOf(f fact.Fact) string {
	if u := c.config.Upstreams[f.Subject]; u != nil {
		return u.Service
	}
	return ""
}

// phaseMessageType returns the type of the log message for a rollout that enters a phase.
func phaseMessageType(p phase.Phase) msgtyp.Type {
	switch p {
	case phase.Done:
		return msgtyp.RolloutDone
	case phase.RolledBack:
		return msgtyp.RolledBack
	}
	return msgtyp.ShareChanged
}

// topicMessageType returns the type of the log message for a new fact.
func topicMessageType(t topic.Topic) msgtyp.Type {
	switch t {
	case topic.Draining:
		return msgtyp.UpstreamDraining
	case topic.Poison:
		return msgtyp.PoisonFound
	case topic.RolledBack:
		return msgtyp.RolledBack
	}
	return msgtyp.UpstreamCold
}
