package contrl

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// watchesStore reports whether this entry watches the store itself, rather than receiving changes from its peers.
//
// Besides the chosen watchers (see package spread for fleets that exchange by failure domain), an entry does so before its first sync, while it needs a full list, and while its replica
// is older than tune.MaxPeerStaleness.
func (c *Control) watchesStore() bool {
	if !c.synced || c.watcher.NeedsList() || !c.proof().Within(c.now, tune.MaxPeerStaleness) {
		return true
	}
	if c.plan != nil {
		return c.plan.WatchesNow(c.now)
	}
	return shard.Shard(0).Rank(c.config.ActiveMembers(), c.self.Name) < c.watcherCount()
}

// watcherCount returns the number of entries that watch the store if the fleet does not exchange by failure domain. The others receive
// the changes from them.
func (c *Control) watcherCount() int {
	return tune.MinWatchers + len(c.config.Members)/tune.EntriesPerWatcher
}

// watchPause returns the pause after a watch that returned changes. It grows with the number of watchers, which tell each other
// what they see, so that the calls of all of them for frequent changes do not grow.
func (c *Control) watchPause() time.Duration {
	return min(tune.MaxWatchPause, tune.WatchPause*time.Duration(c.watcherCount())/tune.MinWatchers)
}

// watchWait returns how long a watch waits for a change. It grows with the number of watchers, so that all of them together
// confirm the state of the store to the others equally often. In a fleet that exchanges by failure domain, the first watcher of each
// domain confirms it to its domain, and the others are there in case it fails.
func (c *Control) watchWait() time.Duration {
	if c.plan != nil {
		if c.plan.FirstWatcher(c.now) {
			return tune.WatchTimeout
		}
		return tune.MaxWatchTimeout
	}
	return min(tune.MaxWatchTimeout, tune.WatchTimeout*time.Duration(c.watcherCount())/tune.MinWatchers)
}

// watchRenew returns the age of the replica at which a watch after changes ends. Only tune.MinWatchers entries end it, so that their
// calls do not grow with the fleet; the others wait as long as always. In a fleet that exchanges by failure domain, they are the first
// watchers of the domains.
func (c *Control) watchRenew() time.Duration {
	if c.plan != nil {
		if c.plan.FirstWatcher(c.now) {
			return tune.FirstWatchRenew
		}
		return 0
	}
	if shard.Shard(0).Rank(c.config.ActiveMembers(), c.self.Name) < tune.MinWatchers {
		return tune.WatchTimeout
	}
	return 0
}

// proof returns the latest proof that this entry's replica matched the store: its own, or that of a peer. There is none between a start
// and the first response of the store, or the first answer of a peer to this entry, although a peer may have sent the state before.
func (c *Control) proof() proof.Proof {
	if own := proof.At(c.watcher.FreshAt()); own.After(c.peersProof) {
		return own
	}
	return c.peersProof
}
