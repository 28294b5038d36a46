package contrl

import (
	"slices"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/control/spread"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/logmsg"
	"github.com/balsamvale/balsamvale/pkg/events/msgtyp"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

func memberKey(name string) string { return keys.Member(name) }

// applyDelta applies changes of the control keys. If some entries do not watch the store, it pushes new changes to a few
// peers. The source is storeSource or the name of the peer that sent the changes.
func (c *Control) applyDelta(d delta.Delta, source string) {
	c.source = source
	base := c.replica.Revision()
	restored := c.synced && d.Revision.Era() > base.Era() && c.replica.Follows(d)
	if restored {
		c.beginEra(d)
	}
	changed := c.replica.Apply(d)
	for _, it := range changed {
		c.apply(it)
	}
	if slices.ContainsFunc(changed, isMember) {
		c.updatePlan()
	}
	c.updateRank()
	first := !c.synced && c.replica.Revision() > 0
	if first {
		c.synced, c.syncedAt, c.era.since = true, c.now, c.now
		c.mergeHeldKept()
	}
	c.trackShards()
	if restored {
		c.logEra(base.Era(), d.Revision.Era())
	}
	c.bootstrap()
	if first && !c.bootstrapped && (len(c.Seeds) > 0 || c.awaitsKept()) {
		// The answers hold the facts that the bootstrap waits for.
		c.push(digest.Digest{})
	}
	if c.worthPushing(changed) && c.bootstrapped && len(c.config.Members) > c.watcherCount() {
		news := delta.Delta{Items: changed, BaseRevision: base, Revision: c.replica.Revision()}
		if restored {
			news = c.replica.Since(base, tune.MaxChanges)
		}
		c.pushDelta(news)
	}
}

// worthPushing reports whether changes have to reach the other entries before their next exchanges. If all entries of a large fleet
// pushed each entry that joins or leaves, a restart of the fleet would cost a number of messages that grows with the square of its
// size.
func (c *Control) worthPushing(changed []item.Item) bool {
	if c.plan == nil && len(c.config.Members) < tune.LargeFleetEntries {
		return len(changed) > 0
	}
	return slices.ContainsFunc(changed, func(it item.Item) bool { return !isMember(it) })
}

// updatePlan computes the plan anew after members have changed.
func (c *Control) updatePlan() {
	next := spread.New(c.self, c.config.Members)
	if next != nil {
		next.KeepAvoided(c.plan, c.config.Members)
	}
	c.plan = next
}

// isMember reports whether an item is the key of a member.
func isMember(it item.Item) bool { return strings.HasPrefix(it.Key, keys.MemberPrefix) }

// apply puts one item in force, and logs what it changes.
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
		c.log(logmsg.Message{Type: msgtyp.MemberGone, Subject: before.Subject, Reason: "its lease expired or it stopped"})
	}
}

// messageFor returns the log message for the current value of a key, without a subject if there is nothing to log. The
// messages before and after a change are compared.
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
//
// It ends at once if all upstreams announce their own warm-up. Otherwise it ends when there is no peer, or after
// bootstrapWait, and the upstreams that do not announce themselves are marked cold.
func (c *Control) bootstrap() {
	if c.bootstrapped || !c.synced {
		return
	}
	alone := true
	for name := range c.config.Members {
		if name != c.self.Name {
			alone = false
		}
	}
	if c.config.AllReportWarmup() && (alone || !c.awaitsKept()) {
		c.finishBootstrap("every upstream reports its own warm-up")
		return
	}
	if !alone && c.now.Sub(c.syncedAt) < bootstrapWait {
		return
	}
	c.config.MarkAllCold(c.now)
	c.finishBootstrap("no peer could tell which upstreams are cold")
}

// bootstrapWait is how long a new entry waits for a peer's facts.
const bootstrapWait = 2 * tune.PeerTimeout

// finishBootstrap marks the entry as bootstrapped, so that all services are published.
func (c *Control) finishBootstrap(reason string) {
	c.bootstrapped = true
	c.config.MarkAllDirty()
	c.log(logmsg.Message{Type: msgtyp.Synced, Subject: c.self.Name, Reason: reason})
}

// gossip sends digests to the peers of one exchange, and sets the time of the next.
func (c *Control) gossip() {
	interval := tune.GossipInterval
	if c.plan != nil && !c.proof().Within(c.now, tune.AskWatcherAge) {
		interval /= 2
	}
	c.gossipAt = c.now.Add(interval/2 + time.Duration(c.rand.Int64N(int64(interval))))
	for _, peer := range c.gossipPeers() {
		var d digest.Digest
		c.setFacts(&d, peer)
		if rev, ok := c.peerRevisions[peer]; ok && rev < c.replica.Revision() {
			c.setDelta(&d, c.replica.Since(rev, tune.MaxChanges), false)
		}
		c.send(peer, d)
	}
}

// gossipPeers returns the peers of one exchange.
//
// In a fleet that exchanges by failure domain these are a partner or, at every second exchange, one of the domain's entries that
// watch the store, and for a relay a relay of another domain. In other fleets they are a random peer, and, unless this entry
// watches the store, one that does. An entry whose configuration gets old asks a random peer in any case.
func (c *Control) gossipPeers() []string {
	all := c.randomPeers()
	if len(all) == 0 {
		return nil
	}
	if c.plan == nil {
		return c.anyPeers(all)
	}
	c.exchanges++
	var out []string
	aged := !c.proof().Within(c.now, tune.AskWatcherAge)
	if watchers := c.plan.LocalWatchers(c.now); len(watchers) > 0 && (aged || c.exchanges%2 == 0 && !c.plan.WatchesNow(c.now)) {
		out = append(out, c.oneOf(watchers))
	} else if partners := c.plan.Partners(c.now); len(partners) > 0 {
		out = append(out, c.oneOf(partners))
	}
	if remote := c.plan.Remote(c.now); c.plan.Relays(c.now) && len(remote) > 0 {
		out = append(out, c.oneOf(remote[c.rand.IntN(len(remote))]))
	}
	if (!c.synced || !c.proof().Within(c.now, tune.FallbackStaleness)) && !slices.Contains(out, all[0]) {
		out = append(out, all[0])
	}
	return out
}

// oneOf returns one of some names.
func (c *Control) oneOf(names []string) string { return names[c.rand.IntN(len(names))] }

// anyPeers returns the peers of one exchange from all others, which are in random order.
func (c *Control) anyPeers(all []string) []string {
	out := all[:1:1]
	if c.watchesStore() {
		return out
	}
	active, watchers := c.config.ActiveMembers(), c.watcherCount()
	for _, name := range all {
		if shard.Shard(0).Rank(active, name) < watchers {
			if name != out[0] {
				out = append(out, name)
			}
			break
		}
	}
	return out
}

// push sends a digest to a few peers at once: random ones, or partners of this entry's failure domain if the fleet exchanges by
// domain.
func (c *Control) push(d digest.Digest) {
	all := c.randomPeers()
	if c.plan != nil {
		if partners := slices.Clone(c.plan.Partners(c.now)); len(partners) > 0 {
			c.rand.Shuffle(len(partners), func(i, j int) { partners[i], partners[j] = partners[j], partners[i] })
			all = partners
		}
	}
	for _, peer := range all[:min(tune.Fanout, len(all))] {
		c.send(peer, d)
	}
}

// pushFacts sends facts to a few peers at once, and those that this entry passes on to other failure domains to one relay of each.
func (c *Control) pushFacts(facts []fact.Fact) {
	c.push(digest.Digest{Facts: facts})
	if c.plan == nil {
		return
	}
	var crossing []fact.Fact
	for _, f := range facts {
		if c.plan.Crosses(c.now, f.Origin) {
			crossing = append(crossing, f)
		}
	}
	if len(crossing) == 0 {
		return
	}
	for _, relays := range c.plan.Remote(c.now) {
		c.send(c.oneOf(relays), digest.Digest{Facts: crossing})
	}
}

// pushDelta pushes changes of the store, or offers them if they are large.
//
// In a fleet that exchanges by failure domain they stay in the domain: others learn of them from their own entries that watch the
// store, or from the exchanges of the relays.
func (c *Control) pushDelta(changes delta.Delta) {
	var d digest.Digest
	c.setDelta(&d, changes, false)
	c.push(d)
}

// send sends a digest to a peer, if that is still a member. The peer only offers large changes in its answer.
func (c *Control) send(peer string, d digest.Digest) {
	d.Brief = true
	c.sendDigest(peer, d, 0)
}

// sendFetch asks a peer for the changes that this entry lacks.
func (c *Control) sendFetch(peer string, id uint64) { c.sendDigest(peer, digest.Digest{}, id) }

// sendDigest adds the name, revision and age of this entry to a digest and sends it to a peer, if that is still a member.
func (c *Control) sendDigest(peer string, d digest.Digest, fetchID uint64) {
	m := c.config.Members[peer]
	if m == nil {
		return
	}
	d.From, d.Revision, d.Matched, d.WantsKept = c.self.Name, c.replica.Revision(), c.proof(), c.wantsKept()
	d.FactsAck = c.peerFacts[peer].theirs
	c.emit(effect.Effect{Action: action.SendDigest, Peer: peer, Remote: c.isRemote(peer), Addr: m.Peer, Digest: d, FetchID: fetchID})
}

// isRemote reports whether a peer is known to be in another failure domain.
func (c *Control) isRemote(peer string) bool {
	m := c.config.Members[peer]
	return m != nil && m.Domain != c.self.Domain
}

// randomPeers returns the names of the other members in random order.
func (c *Control) randomPeers() []string {
	names := make([]string, 0, len(c.config.Members))
	for name := range c.config.Members {
		if name != c.self.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	c.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// handleDigest merges a peer's digest, and answers with this entry's facts and the changes that the peer lacks.
func (c *Control) handleDigest(ev event.Event) {
	ev.Digest = c.withEra(ev.Digest)
	c.mergeDigest(ev.Digest)
	d := digest.Digest{From: c.self.Name, Revision: c.replica.Revision(), Matched: c.proof()}
	c.setFacts(&d, ev.Digest.From)
	d.FactsAck = c.peerFacts[ev.Digest.From].theirs
	if ev.Digest.Revision < c.replica.Revision() {
		c.setDelta(&d, c.replica.Since(ev.Digest.Revision, tune.MaxChanges), !ev.Digest.Brief)
	}
	c.setKept(&d, ev.Digest)
	c.emit(effect.Effect{Action: action.AnswerDigest, CorrelationID: ev.CorrelationID, Remote: c.isRemote(ev.Digest.From), Digest: d})
}

// handleDigestAnswer merges a peer's answer to a digest. The first answer after which the entry is synced ends the
// bootstrap.
func (c *Control) handleDigestAnswer(ev event.Event) {
	ev.Digest = c.withEra(ev.Digest)
	revision, known := c.peerRevisions[ev.Digest.From]
	c.era.answered = true
	c.mergeDigest(ev.Digest)
	c.noteProof(ev.Digest)
	if c.plan != nil && !ev.Digest.Matched.Within(c.now, tune.MaxPeerStaleness) {
		c.plan.AvoidFirst(c.now, ev.Digest.From, c.now.Add(tune.AvoidTime))
	}
	c.fetchDone(ev)
	if known && revision == 0 && ev.Digest.Revision == 0 {
		c.sendState(ev.Digest.From)
	}
	if c.synced && !c.bootstrapped {
		c.finishBootstrap("facts from " + ev.Digest.From)
	}
}

// sendState sends all of the state to a peer that has had none in two exchanges. Such a peer cannot ask for it, because it knows
// no addresses but those of its seeds.
func (c *Control) sendState(peer string) {
	var d digest.Digest
	c.setFacts(&d, peer)
	c.setDelta(&d, c.replica.Since(0, tune.MaxChanges), true)
	if d.Delta.Revision > 0 {
		c.send(peer, d)
		delete(c.peerRevisions, peer)
	}
}

// mergeDigest adds the facts and applies the changes that a peer has sent.
func (c *Control) mergeDigest(d digest.Digest) {
	if d.From != "" {
		c.peerRevisions[d.From] = d.Revision
	}
	c.checkAge(d)
	c.mergeFacts(d)
	switch {
	case d.Offer:
		c.noteOffer(d)
	case d.Delta.Revision <= c.replica.Revision():
	case c.fetches.id != 0 && !d.Delta.Full && d.Delta.BaseRevision > c.replica.Revision():
		// The changes follow the ones that are being fetched.
		c.noteOffer(d)
	case !c.synced && !d.Delta.Full:
		// A part of the state, without the operators' configuration for instance, must not come into force.
	case !c.synced && !d.Matched.Within(c.now, tune.MaxPeerStaleness) && !c.watcher.Failing():
		if d.Delta.Revision > c.heldDelta.Revision {
			c.heldDelta, c.heldFrom = d.Delta, d.From
		}
	default:
		c.applyDelta(d.Delta, d.From)
	}
	c.mergeKept(d)
}

// checkAge logs when a peer begins to give an age that no replica can have. The digest has no proof then.
func (c *Control) checkAge(d digest.Digest) {
	if d.InvalidAge && !c.invalidAges[d.From] {
		c.log(logmsg.Message{Type: msgtyp.AgeRefused, Subject: d.From, Reason: "its age is negative, so what it has counts as out of date"})
		c.invalidAges[d.From] = true
	} else if !d.InvalidAge {
		delete(c.invalidAges, d.From)
	}
}

// noteProof takes over the proof in a peer's answer, whose age includes the time since this entry asked. How long a digest that a peer
// sent by itself was on its way is not known, and its age would grow less than it should with each entry that passes it on.
func (c *Control) noteProof(d digest.Digest) {
	// The sender's revision is not above that of this entry's replica, so this one is at least as fresh.
	sameEra := d.Revision.Era() == c.replica.Revision().Era() && (!d.NoEras || d.Revision.Era() == 0)
	if c.synced && sameEra && d.Revision <= c.replica.Revision() && d.Matched.After(c.peersProof) && d.Revision > 0 {
		c.peersProof = d.Matched
	}
}

// applyHeldDelta applies the newest state that a stale peer sent to this entry before its first sync.
func (c *Control) applyHeldDelta() {
	if d := c.heldDelta; !c.synced && d.Revision > c.replica.Revision() {
		c.applyDelta(d, c.heldFrom)
	}
	c.heldDelta = delta.Delta{}
}
