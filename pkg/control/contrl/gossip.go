package contrl

import (
	"slices"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/logmsg"
	"github.com/balsamvale/balsamvale/pkg/events/msgtyp"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
)

func memberKey(name string) string { return keys.Member(name) }

// watchesStore reports whether this entry follows the store itself rather than its peers.
func (c *Control) watchesStore() bool {
	if !c.synced || c.watcher.NeedsList() || c.now.Sub(c.knownFreshAt) > tune.MaxPeerStaleness {
		return true
	}
	return shard.Shard(0).Rank(c.config.ActiveMembers(), c.self.Name) < c.watcherCount()
}

// watcherCount is the number of entries that watch the store; the others hear from them.
func (c *Control) watcherCount() int {
	return tune.MinWatchers + len(c.config.Members)/tune.EntriesPerWatcher
}

// freshAt is the time at which this entry's catalog was surely that of the store.
func (c *Control) freshAt() time.Time {
	if f := c.watcher.FreshAt(c.now); f.After(c.knownFreshAt) {
		return f
	}
	return c.knownFreshAt
}

// applyDelta takes in changes of the control keys, and passes news on.
func (c *Control) applyDelta(ch delta.Delta) {
	base := c.replica.Revision()
	news := c.replica.Apply(ch)
	fleet := len(c.config.ActiveMembers())
	for _, it := range news {
		c.apply(it)
	}
	if live := c.config.ActiveMembers(); len(live) != fleet || slices.Index(live, c.self.Name) != c.rank {
		c.rank = slices.Index(live, c.self.Name)
		c.config.SetRank(max(0, c.rank))
		if c.bootstrapped {
			c.config.MarkAllDirty()
		}
	}
	c.trackShards()
	if !c.synced && c.replica.Revision() > 0 {
		c.synced, c.syncedAt = true, c.now
	}
	c.bootstrap()
	if len(news) > 0 && c.bootstrapped && len(c.config.Members) > c.watcherCount() {
		c.push(digest.Digest{Delta: delta.Delta{Items: news, BaseRevision: base, Revision: c.replica.Revision()}})
	}
}

// apply puts one item in force and logs what it means.
func (c *Control) apply(it item.Item) {
	before := c.messageFor(it.Key)
	c.config.Apply(c.now, it, c.bootstrapped)
	if rej, ok := c.config.Rejects[it.Key]; ok && rej.Revision == it.Revision {
		c.log(logmsg.Message{Type: msgtyp.RecordRejected, Subject: it.Key, Reason: rej.Err.Error()})
		return
	}
	after := c.messageFor(it.Key)
	if after != before && after.Subject != "" {
		c.log(after)
	} else if before.Type == msgtyp.MemberJoined && after.Subject == "" {
		c.log(logmsg.Message{Type: msgtyp.MemberGone, Subject: before.Subject, Reason: "its lease lapsed or it left"})
	}
}

// messageFor describes what a key places, for comparing before and after a change.
func (c *Control) messageFor(key string) logmsg.Message {
	if name, ok := strings.CutPrefix(key, keys.Record("domain", "")); ok && c.config.Domains[name] != nil {
		if c.config.Domains[name].Drained {
			return logmsg.Message{Type: msgtyp.DomainDrained, Subject: name, Reason: "record"}
		}
		return logmsg.Message{Type: msgtyp.DomainRestored, Subject: name, Reason: "record"}
	}
	if name, ok := strings.CutPrefix(key, keys.RolloutPrefix); ok && c.config.Progress[name] != nil {
		p := c.config.Progress[name]
		return logmsg.Message{Type: phaseMessageType(p.Phase), Subject: name, Permille: p.Permille, Reason: p.Reason}
	}
	if name, ok := strings.CutPrefix(key, keys.MemberPrefix); ok && c.config.Members[name] != nil {
		return logmsg.Message{Type: msgtyp.MemberJoined, Subject: name, Reason: "member key"}
	}
	return logmsg.Message{}
}

// bootstrap ends the wait for what peers know of cold upstreams.
func (c *Control) bootstrap() {
	if c.bootstrapped || !c.synced {
		return
	}
	if c.config.AllReportWarmup() {
		c.finishBootstrap("every upstream tells of its own warm-up")
		return
	}
	alone := true
	for name := range c.config.Members {
		if name != c.self.Name {
			alone = false
		}
	}
	if !alone && c.now.Sub(c.syncedAt) < bootstrapWait {
		return
	}
	c.config.MarkAllCold(c.now)
	c.finishBootstrap("no peer could tell which upstreams are cold")
}

// bootstrapWait is how long a new entry waits for a peer's facts.
const bootstrapWait = 2 * tune.PeerTimeout

func (c *Control) finishBootstrap(why string) {
	c.bootstrapped = true
	c.config.MarkAllDirty()
	c.log(logmsg.Message{Type: msgtyp.Synced, Subject: c.self.Name, Reason: why})
}

// gossip exchanges digests with one random peer.
func (c *Control) gossip() {
	c.gossipAt = c.now.Add(tune.GossipInterval/2 + time.Duration(c.rand.Int64N(int64(tune.GossipInterval))))
	for _, p := range c.gossipPeers() {
		d := digest.Digest{Facts: c.facts.Live(c.now, tune.MaxFacts)}
		if rev, ok := c.peerRevisions[p]; ok && rev < c.replica.Revision() {
			d.Delta = c.replica.Since(rev, tune.MaxChanges)
		}
		c.send(p, d)
	}
}

// gossipPeers returns the peers of one exchange: a random one, and one that watches the store.
func (c *Control) gossipPeers() []string {
	all := c.randomPeers(len(c.config.Members))
	if len(all) == 0 {
		return nil
	}
	out := all[:1]
	if c.watchesStore() {
		return out
	}
	live, most := c.config.ActiveMembers(), c.watcherCount()
	for _, name := range all {
		if shard.Shard(0).Rank(live, name) < most {
			if name != out[0] {
				out = append(out, name)
			}
			break
		}
	}
	return out
}

// push sends news to a few peers at once.
func (c *Control) push(d digest.Digest) {
	for _, p := range c.randomPeers(tune.Fanout) {
		c.send(p, d)
	}
}

func (c *Control) send(peer string, d digest.Digest) {
	m := c.config.Members[peer]
	if m == nil {
		return
	}
	d.From, d.Revision, d.Age = c.self.Name, c.replica.Revision(), c.age()
	c.emit(effect.Effect{Action: action.SendDigest, Peer: peer, Addr: m.Peer, Digest: d})
}

// randomPeers returns up to n other members, at random.
func (c *Control) randomPeers(n int) []string {
	names := make([]string, 0, len(c.config.Members))
	for name := range c.config.Members {
		if name != c.self.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	c.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(n, len(names))]
}

// handleDigest takes in a peer's digest and answers with what the peer lacks.
func (c *Control) handleDigest(ev event.Event) {
	c.mergeDigest(ev.Digest)
	d := digest.Digest{From: c.self.Name, Revision: c.replica.Revision(), Age: c.age(), Facts: c.facts.Live(c.now, tune.MaxFacts)}
	if ev.Digest.Revision < c.replica.Revision() {
		d.Delta = c.replica.Since(ev.Digest.Revision, tune.MaxChanges)
	}
	c.emit(effect.Effect{Action: action.AnswerDigest, CorrelationID: ev.CorrelationID, Digest: d})
}

// handleDigestAnswer takes in a peer's answer.
func (c *Control) handleDigestAnswer(ev event.Event) {
	c.mergeDigest(ev.Digest)
	if c.synced && !c.bootstrapped {
		c.finishBootstrap("facts from " + ev.Digest.From)
	}
}

// mergeDigest takes in facts and changes from a peer.
func (c *Control) mergeDigest(d digest.Digest) {
	if d.From != "" {
		c.peerRevisions[d.From] = d.Revision
	}
	for _, f := range d.Facts {
		c.addFact(f)
	}
	if d.Delta.Revision > c.replica.Revision() {
		c.applyDelta(d.Delta)
	}
	// The sender knew at least this entry's revision to be the store's when its knowledge was fresh.
	if at := c.now.Add(-d.Age); c.synced && d.Revision <= c.replica.Revision() && at.After(c.knownFreshAt) && d.Revision > 0 {
		c.knownFreshAt = at
	}
}

// age is how long ago this entry's catalog was surely that of the store.
func (c *Control) age() time.Duration { return c.now.Sub(c.freshAt()) }

// addFact takes in a fact, hands it to the traffic side, and passes it on while it is news.
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
	if f.Topic == topic.ColdStart {
		c.config.SetColdUntil(f.Subject, f.Value, f.Until)
	}
	c.emit(effect.Effect{Action: action.DeliverFact, Fact: f, Service: c.serviceOf(f)})
	c.log(logmsg.Message{Type: topicMessageType(f.Topic), Subject: f.Subject, Reason: reasonOf(f)})
	c.gossipFact(f)
	if f.Topic == topic.RolledBack {
		if m := c.config.Rollouts[f.Subject]; m != nil {
			c.config.MarkDirty(m.Service)
		}
	}
}

// sendEvidence brings what an entry saw of a new version to those that judge it for all.
//
// It goes straight to them, and once: evidence that came twice would count twice.
func (c *Control) sendEvidence(f fact.Fact) {
	m := c.config.Rollouts[f.Subject]
	if m == nil {
		return
	}
	if f.Origin != c.self.Name {
		c.emit(effect.Effect{Action: action.DeliverFact, Fact: f, Service: m.Service})
		return
	}
	live := c.config.ActiveMembers()
	for _, name := range live {
		if shard.Of(m.Service).Rank(live, name) >= tune.PooledEvaluators {
			continue
		}
		if name == c.self.Name {
			c.emit(effect.Effect{Action: action.DeliverFact, Fact: f, Service: m.Service})
		} else {
			c.send(name, digest.Digest{Facts: []fact.Fact{f}})
		}
	}
}

// gossipFact passes a fact on: word of a bad version at once, others with those of the same moment, and a first crash,
// of which there is one for each call that a lost upstream was running, with the next exchange.
func (c *Control) gossipFact(f fact.Fact) {
	switch {
	case f.Topic == topic.RolledBack:
		c.push(digest.Digest{Facts: []fact.Fact{f}})
	case f.Topic == topic.Poison && f.Value < tune.MaxCrashes:
	default:
		c.pendingFacts = append(c.pendingFacts, f)
	}
}

// pushPending pushes the facts of the last moment in one message.
func (c *Control) pushPending() {
	if len(c.pendingFacts) == 0 {
		return
	}
	n := min(len(c.pendingFacts), tune.MaxFacts)
	c.push(digest.Digest{Facts: c.pendingFacts[:n]})
	c.pendingFacts = append([]fact.Fact(nil), c.pendingFacts[n:]...)
}

func reasonOf(f fact.Fact) string {
	if f.Detail != "" {
		return f.Detail + ", seen by " + f.Origin
	}
	return "seen by " + f.Origin
}

func (c *Control) serviceOf(f fact.Fact) string {
	if u := c.config.Upstreams[f.Subject]; u != nil {
		return u.Service
	}
	return ""
}

func phaseMessageType(p phase.Phase) msgtyp.Type {
	switch p {
	case phase.Done:
		return msgtyp.RolloutDone
	case phase.RolledBack:
		return msgtyp.RolledBack
	}
	return msgtyp.ShareChanged
}

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
