package contrl

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/logmsg"
	"github.com/balsamvale/balsamvale/pkg/events/msgtyp"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/owner"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// eraState is what an entry knows of the era of the store that its replica is of.
type eraState struct {
	// since is when the replica came to be of this era.
	since time.Time
	// first is the revision of the first list of the era, or 0 if the entry knows no earlier one: what the list holds may be a copy
	// of what the entry knows better.
	first revno.Revision
	// owners holds the owners of the shards in the era before, by store key.
	owners map[string]*owner.Owner
	// keptAt is when held, a digest with what a peer keeps in force, arrived before the first sync.
	keptAt time.Time
	held   digest.Digest
	// answered is set once a peer has answered, so that what it keeps is known.
	answered bool
}

// beginEra prepares for a full list of a later era than that of the replica.
func (c *Control) beginEra(d delta.Delta) {
	c.era = eraState{since: c.now, first: d.Revision, owners: maps.Clone(c.config.ShardOwners), answered: true}
	c.config.Restored(c.now, d.Revision, d.Items)
	if c.keeper.Restored(d.Revision.Era()) {
		c.log(logmsg.Message{Type: msgtyp.LeaseLost, Subject: c.self.Name, Reason: "the store was restored without it"})
	}
}

// logEra logs the begin of an era, with what stays in force although the store holds an older copy.
func (c *Control) logEra(before, era int64) {
	kept, _, end := c.config.Kept(c.now)
	removed := 0
	for _, it := range kept {
		if it.Tombstone {
			removed++
		}
	}
	c.log(logmsg.Message{Type: msgtyp.StoreRestored, Subject: storeSource, Reason: fmt.Sprintf(
		"store restored: era %d after %d; kept %d newer values and %d removals for %v at most", era, before, len(kept)-removed, removed, max(0, end.Sub(c.now)))})
}

// ownerInForce returns the owner of a shard on which this entry can rely, or nil. In a new era of the store, the owners in the copy
// hold no lease. Those of the era before may not know of the new one yet, and act as owners until their leases expire, so no other
// entry takes their shards meanwhile. An empty owner stands for one that this entry cannot know.
func (c *Control) ownerInForce(s shard.Shard) *owner.Owner {
	key := keys.Owner(s)
	stored, ok := c.replica.Get(key)
	o := c.config.ShardOwners[key]
	waits := c.replica.Revision().Era() > 0 && c.now.Sub(c.era.since) < leaseTTL(true, len(c.config.Members))
	switch {
	case ok && (c.era.first == 0 || stored.Revision > c.era.first):
		return o
	case !waits:
		return nil
	case c.era.first == 0:
		return &owner.Owner{}
	}
	before := c.era.owners[key]
	if before == nil || before.Entry == c.self.Name && before.Incarnation == c.self.Incarnation {
		return nil
	}
	return before
}

// wantsKept reports whether peers may keep in force what this entry does not know, since it knows the era of the store only by a list
// of its own.
func (c *Control) wantsKept() bool {
	return !c.synced || c.replica.Revision().Era() > 0 && c.era.first == 0 && c.now.Sub(c.syncedAt) < tune.RestoreGrace
}

// awaitsKept reports whether the entry should hear from a peer before it puts a state of the store in force that may be a copy.
func (c *Control) awaitsKept() bool {
	return c.replica.Revision().Era() > 0 && !c.era.answered && c.now.Sub(c.syncedAt) < tune.PeerTimeout
}

// setKept puts what this entry keeps in force, and until when its transition lasts, into its answer to a peer that may not know it.
func (c *Control) setKept(d *digest.Digest, asked digest.Digest) {
	if !asked.WantsKept {
		return
	}
	kept, left, end := c.config.Kept(c.now)
	if end.After(c.now) {
		d.Kept, d.KeptFor, d.KeptLeft = kept, end.Sub(c.now), left
	}
}

// mergeKept takes over what a peer keeps in force, once this entry has a state of the same era.
func (c *Control) mergeKept(d digest.Digest) {
	if d.KeptFor <= 0 || !c.wantsKept() {
		return
	}
	if !c.synced {
		c.era.held, c.era.keptAt = d, c.now
		return
	}
	if d.Revision.Era() == c.replica.Revision().Era() {
		c.config.Keep(c.now, c.now.Add(d.KeptFor), c.replica.Revision(), d.Kept, d.KeptLeft)
		c.updatePlan()
		c.updateRank()
	}
}

// mergeHeldKept takes over what a peer kept in force before the first sync.
func (c *Control) mergeHeldKept() {
	d := c.era.held
	waited := c.now.Sub(c.era.keptAt)
	d.KeptFor -= waited
	for i := range d.KeptLeft {
		d.KeptLeft[i] -= waited
	}
	c.era.held = digest.Digest{}
	if d.KeptFor > 0 {
		c.mergeKept(d)
	}
}

// withEra returns a digest in which the revision of a build that does not know eras counts as one of the era of this entry, so that the
// peer gets changes as before instead of all keys each time. Its own changes may be of an era before, and are left out.
func (c *Control) withEra(d digest.Digest) digest.Digest {
	if era := c.replica.Revision().Era(); d.NoEras && era > 0 {
		d.Revision, d.Delta, d.Offer = revno.New(era, d.Revision.Number()), delta.Delta{}, false
	}
	return d
}

// updateRank takes the rank of this entry among the active members over from the configuration.
func (c *Control) updateRank() {
	active := c.config.ActiveMembers()
	if rank := slices.Index(active, c.self.Name); len(active) != c.activeCount || rank != c.rank {
		c.activeCount, c.rank = len(active), rank
		c.config.SetRank(max(0, rank))
		if c.bootstrapped {
			c.config.MarkAllDirty()
		}
	}
}
