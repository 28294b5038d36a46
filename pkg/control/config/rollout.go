package config

import (
	"strings"

	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/shared/share"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
)

// markRolloutDirty marks the service of a rollout as changed.
func (c *Config) markRolloutDirty(rollout string) {
	if r := c.Rollouts[rollout]; r != nil {
		c.dirty[r.Service] = true
	}
}

// restoreStart restores the start and deadline of a rollout that starts as soon as its record is read.
//
// The progress of the rollout, if there is any, holds the time at which it first started.
func (c *Config) restoreStart(rollout string) {
	r, p := c.Rollouts[rollout], c.Progress[rollout]
	if r == nil || p == nil || r.Duration == 0 || !p.Start.Before(r.Start) {
		return
	}
	r.Start, r.Deadline = p.Start, p.Start.Add(r.Duration)
}

// shares returns how the newest rollout of a service divides the calls among its versions, or nil without a rollout.
func (c *Config) shares(service string, rolledBack func(rollout string) bool) []share.Share {
	r := c.newestRollout(service)
	if r == nil {
		return nil
	}
	permille := 0
	if p := c.Progress[r.Name]; p != nil {
		permille = p.Permille
		if p.Phase == phase.RolledBack {
			permille = 0
		}
	}
	if !c.rolloutEnded(r.Name) && rolledBack(r.Name) {
		permille = 0
	}
	return []share.Share{
		{Version: r.From, Permille: fullPermille - permille},
		{Version: r.To, Permille: permille},
	}
}

// rolloutEnded reports whether a rollout is done or rolled back, so that its new version is no longer analyzed.
func (c *Config) rolloutEnded(rollout string) bool {
	p := c.Progress[rollout]
	return p != nil && hasEnded(p)
}

// hasEnded reports whether a rollout is done or rolled back.
func hasEnded(p *progrs.Progress) bool { return p.Phase == phase.Done || p.Phase == phase.RolledBack }

// fullPermille is the share of all calls, in thousandths.
const fullPermille = 1000

// newestRollout returns the rollout of a service with the latest start, or nil if there is none. Of several that start
// at the same time, it returns the last by name.
func (c *Config) newestRollout(service string) *rolrec.Rollout {
	var newest *rolrec.Rollout
	for _, r := range c.Rollouts {
		if r.Service != service {
			continue
		}
		if newest == nil || r.Start.After(newest.Start) || (r.Start.Equal(newest.Start) && strings.Compare(r.Name, newest.Name) > 0) {
			newest = r
		}
	}
	return newest
}

// CurrentRollout returns the rollout that determines the versions of a service, or nil if there is none.
func (c *Config) CurrentRollout(service string) *rolrec.Rollout { return c.newestRollout(service) }
