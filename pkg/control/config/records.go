package config

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// drop removes an old value.
func (c *Config) drop(now time.Time, key string, v value.Value) {
	switch {
	case v.Member != nil:
		delete(c.Members, v.Member.Name)
	case v.Owner != nil:
		delete(c.ShardOwners, key)
	case v.Progress != nil:
		c.markRolloutDirty(v.Progress.Rollout)
		delete(c.Progress, v.Progress.Rollout)
	case v.Record != nil:
		c.dropRecord(now, v.Record)
	case v.Batch != nil:
		c.Version = 0
		c.defects -= len(v.Batch.Defects)
		for _, r := range v.Batch.Records {
			c.dropRecord(now, r)
		}
	}
}

func (c *Config) dropRecord(now time.Time, r *record.Record) {
	switch {
	case r.Service != nil:
		delete(c.Services, r.Service.Name)
		c.dirty[r.Service.Name] = true
	case r.Upstream != nil:
		delete(c.Upstreams, r.Upstream.Name)
		c.indexByShard(r.Upstream.Name, false)
		delete(c.byService[r.Upstream.Service], r.Upstream.Name)
		c.dirty[r.Upstream.Service] = true
	case r.Domain != nil:
		delete(c.Domains, r.Domain.Name)
		c.markDomainDirty(r.Domain.Name)
		if r.Domain.Drained {
			c.markDomainCold(now, r.Domain.Name)
		}
	case r.Rollout != nil:
		delete(c.Rollouts, r.Rollout.Name)
		delete(c.predecessors, r.Rollout.Name)
		c.dirty[r.Rollout.Service] = true
	case r.Rule != nil:
		delete(c.rules, keyOf(r.Rule))
		c.ruleTable = nil
	case r.Bounds != nil:
		c.Bounds = nil
	case r.Account != nil:
		delete(c.accounts, r.Account.Name)
		c.accountTable = nil
	}
}

// put adds a new value; old is the one that it replaces.
func (c *Config) put(now time.Time, key string, old, v value.Value, warmup bool) {
	switch {
	case v.Member != nil:
		c.Members[v.Member.Name] = v.Member
	case v.Owner != nil:
		c.ShardOwners[key] = v.Owner
	case v.Progress != nil:
		c.Progress[v.Progress.Rollout] = v.Progress
		c.markRolloutDirty(v.Progress.Rollout)
		c.restoreStart(v.Progress.Rollout)
	case v.Record != nil:
		c.putRecord(now, old.Record, v.Record, warmup)
	case v.Batch != nil:
		c.Version = v.Batch.Version
		c.defects += len(v.Batch.Defects)
		for _, r := range v.Batch.Records {
			c.putRecord(now, nil, r, warmup)
		}
	}
}

func (c *Config) putRecord(now time.Time, old, r *record.Record, warmup bool) {
	switch {
	case r.Service != nil:
		c.Services[r.Service.Name] = r.Service
		c.dirty[r.Service.Name] = true
	case r.Upstream != nil:
		c.putUpstream(now, old, r.Upstream, warmup)
	case r.Domain != nil:
		c.Domains[r.Domain.Name] = r.Domain
		c.markDomainDirty(r.Domain.Name)
		if old != nil && old.Domain != nil && old.Domain.Drained && !r.Domain.Drained {
			c.markDomainCold(now, r.Domain.Name)
		}
	case r.Rollout != nil:
		rollout := *r.Rollout
		if rollout.Duration > 0 {
			rollout.Start, rollout.Deadline = now, now.Add(rollout.Duration)
		}
		c.Rollouts[rollout.Name] = &rollout
		c.dirty[rollout.Service] = true
		c.restoreStart(rollout.Name)
	case r.Rule != nil:
		c.rules[keyOf(r.Rule)] = r.Rule
		c.ruleTable = nil
	case r.Bounds != nil:
		c.Bounds = r.Bounds
	case r.Account != nil:
		c.accounts[r.Account.Name] = r.Account
		c.accountTable = nil
	}
}

func (c *Config) putUpstream(now time.Time, old *record.Record, u *upsrec.Upstream, warmup bool) {
	c.Upstreams[u.Name] = u
	c.indexByShard(u.Name, true)
	if c.byService[u.Service] == nil {
		c.byService[u.Service] = map[string]bool{}
	}
	c.byService[u.Service][u.Name] = true
	c.dirty[u.Service] = true
	if u.Incarnation != 0 {
		c.setAnnounced(now, u)
		return
	}
	unchanged := old != nil && old.Upstream != nil && old.Upstream.Addr == u.Addr && !old.Upstream.Drain
	if warmup && !unchanged {
		c.markCold(now, u.Name)
	}
}
