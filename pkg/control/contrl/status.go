package contrl

import (
	"cmp"
	"slices"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/status"
)

// Status returns the configuration revision, shards, rejected and defective records and rollouts of this entry. An entry that does not watch the
// store, since it gets fresh changes from its peers, counts the store as reachable.
func (c *Control) Status() status.Status {
	s := status.Status{
		Name: c.self.Name, Domain: c.self.Domain, Revision: c.snapshot.Revision, RevisionSince: c.revisionSince,
		Ready: c.Ready(), StoreReachable: c.watcher.Healthy(c.now) || !c.watchesStore(), Members: len(c.config.Members),
	}
	for _, sh := range c.elector.Owned() {
		s.OwnedShards = append(s.OwnedShards, keys.Owner(sh))
	}
	s.Rejects = c.config.NotInForce()
	for name := range c.config.Rollouts {
		s.Rollouts = append(s.Rollouts, c.progress(name))
	}
	slices.SortFunc(s.Rollouts, func(a, b progrs.Progress) int { return cmp.Compare(a.Rollout, b.Rollout) })
	return s
}

// Ready reports whether the entry has the operators' configuration in force and is not draining. Upstreams alone, which may announce
// themselves before there is a configuration, are not enough.
func (c *Control) Ready() bool { return c.snapshot.OperatorRevision > 0 && !c.self.Draining }

// progress returns the progress of a rollout as this entry acts on it: a rollback that an entry has reported counts even
// if the store does not hold it yet.
func (c *Control) progress(rollout string) progrs.Progress {
	p := progrs.Progress{Rollout: rollout, Phase: phase.Planned}
	if known := c.config.Progress[rollout]; known != nil {
		p = *known
	}
	if c.rolledBack(rollout) && p.Phase != phase.RolledBack {
		p.Phase, p.Permille, p.Reason = phase.RolledBack, 0, "taken back by an entry"
	}
	return p
}

// Matched returns the latest proof that the configuration in force matched the store. There is none before the first sync and while what
// operators have written was never in force.
func (c *Control) Matched() proof.Proof { return c.matched }

// updateMatched raises matched to the proof of the replica, unless a record of operators in it is not in force. When such a record
// arrives, the store may have had it for as long as the replica had not been confirmed.
func (c *Control) updateMatched() {
	if !c.synced {
		return
	}
	for key := range c.config.Rejects {
		if keys.IsOperators(key) {
			return
		}
	}
	c.matched = c.proof()
}
