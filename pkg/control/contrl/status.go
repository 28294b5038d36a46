package contrl

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/records/reject"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/status"
)

// Status describes what is in force.
func (c *Control) Status() status.Status {
	s := status.Status{
		Name: c.self.Name, Domain: c.self.Domain, Revision: c.snapshot.Revision, RevisionSince: c.revisionSince,
		Ready: c.Ready(), StoreReachable: c.watcher.Healthy(c.now), Members: len(c.config.Members),
	}
	for _, sh := range c.elector.Owned() {
		s.OwnedShards = append(s.OwnedShards, keys.Owner(sh))
	}
	for _, r := range c.config.Rejects {
		s.Rejects = append(s.Rejects, r)
	}
	slices.SortFunc(s.Rejects, func(a, b reject.Reject) int { return cmp.Compare(a.Key, b.Key) })
	for name := range c.config.Rollouts {
		s.Rollouts = append(s.Rollouts, c.progress(name))
	}
	slices.SortFunc(s.Rollouts, func(a, b progrs.Progress) int { return cmp.Compare(a.Rollout, b.Rollout) })
	return s
}

// Ready reports whether the entry has a configuration and does not stop.
func (c *Control) Ready() bool { return c.bootstrapped && !c.self.Draining }

// progress returns how far a move has come, as this entry acts on it.
func (c *Control) progress(move string) progrs.Progress {
	p := progrs.Progress{Rollout: move, Phase: phase.Planned}
	if known := c.config.Progress[move]; known != nil {
		p = *known
	}
	if c.rolledBack(move) && p.Phase != phase.RolledBack {
		p.Phase, p.Permille, p.Reason = phase.RolledBack, 0, "taken back by an entry"
	}
	return p
}

// FreshAt is the time at which the configuration in force was surely that of the store; zero while there is none.
func (c *Control) FreshAt() time.Time {
	if !c.synced {
		return time.Time{}
	}
	return c.freshAt()
}
