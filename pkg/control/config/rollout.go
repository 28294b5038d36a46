package config

import (
	"strings"

	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/shared/share"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
)

// markRolloutDirty marks the service of a rollout as changed.
func (c *Config) markRolloutDirty(rollout string) {
	if m := c.Rollouts[rollout]; m != nil {
		c.dirty[m.Service] = true
	}
}

// restoreStart restores the start and deadline of a rollout that starts as soon as its record is read.
//
// The progress of the rollout, if there is any, holds the time at which it first started.
func (c *Config) restoreStart(rollout string) {
	m, p := c.Rollouts[rollout], c.Progress[rollout]
	if m == nil || p == nil || m.Duration == 0 || !p.Start.Before(m.Start) {
		return
	}
	m.Start, m.Deadline = p.Start, p.Start.Add(m.Duration)
}

// shares returns how the newest rollout of a service divides the calls among its versions, or nil without a rollout.
func (c *Config) shares(service string, rolledBack func(rollout string) bool) []share.Share {
	m := c.newestRollout(service)
	if m == nil {
		return nil
	}
	permille := 0
	if p := c.Progress[m.Name]; p != nil {
		permille = p.Permille
		if p.Phase == phase.RolledBack {
			permille = 0
		}
	}
	if !c.rolloutEnded(m.Name) && rolledBack(m.Name) {
		permille = 0
	}
	return []share.Share{
		{Version: m.From, Permille: fullPermille - permille},
		{Version: m.To, Permille: permille},
	}
}

// rolloutEnded reports whether a rollout is done or rolled back, so that its new version is no longer analyzed.
func (c *Config) rolloutEnded(rollout string) bool {
	p := c.Progress[rollout]
	return p != nil && (p.Phase == phase.Done || p.Phase == phase.RolledBack)
}

// fullPermille is the share of all calls, in thousandths.
const fullPermille = 1000

// newestRollout returns the rollout of a service with the latest start, or nil if there is none. Of several that start
// at the same time, it returns the last by name.
func (c *Config) newestRollout(service string) *rolrec.Rollout {
	var newest *rolrec.Rollout
	for _, m := range c.Rollouts {
		if m.Service != service {
			continue
		}
		if newest == nil || m.Start.After(newest.Start) || (m.Start.Equal(newest.Start) && strings.Compare(m.Name, newest.Name) > 0) {
			newest = m
		}
	}
	return newest
}

// CurrentRollout returns the rollout that determines the versions of a service, or nil if there is none.
func (c *Config) CurrentRollout(service string) *rolrec.Rollout { return c.newestRollout(service) }
