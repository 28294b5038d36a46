package config

import (
	"strings"

	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/shared/share"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
)

func (c *Config) markRolloutDirty(move string) {
	if m := c.Rollouts[move]; m != nil {
		c.dirty[m.Service] = true
	}
}

// restoreStart takes the start of a move that begins when it is read from its progress, if there is any.
func (c *Config) restoreStart(move string) {
	m, p := c.Rollouts[move], c.Progress[move]
	if m == nil || p == nil || m.Duration == 0 || !p.Start.Before(m.Start) {
		return
	}
	m.Start, m.Deadline = p.Start, p.Start.Add(m.Duration)
}

// shares splits the calls of a service by the move that is under way.
func (c *Config) shares(service string, reverted func(move string) bool) []share.Share {
	m := c.newestRollout(service)
	if m == nil {
		return nil
	}
	part := 0
	if p := c.Progress[m.Name]; p != nil {
		part = p.Permille
		if p.Phase == phase.RolledBack {
			part = 0
		}
	}
	if !c.rolloutEnded(m.Name) && reverted(m.Name) {
		part = 0
	}
	return []share.Share{
		{Version: m.From, Permille: wholeShare - part},
		{Version: m.To, Permille: part},
	}
}

// rolloutEnded reports whether a move is done or taken back, so that nothing is judged any more.
func (c *Config) rolloutEnded(move string) bool {
	p := c.Progress[move]
	return p != nil && (p.Phase == phase.Done || p.Phase == phase.RolledBack)
}

// wholeShare is the weight of all calls, in thousandths.
const wholeShare = 1000

// newestRollout returns the newest move of a service by its start time.
func (c *Config) newestRollout(service string) *rolrec.Rollout {
	var best *rolrec.Rollout
	for _, m := range c.Rollouts {
		if m.Service != service {
			continue
		}
		if best == nil || m.Start.After(best.Start) || (m.Start.Equal(best.Start) && strings.Compare(m.Name, best.Name) > 0) {
			best = m
		}
	}
	return best
}

// CurrentRollout returns the move that decides the versions of a service, or nil.
func (c *Config) CurrentRollout(service string) *rolrec.Rollout { return c.newestRollout(service) }
