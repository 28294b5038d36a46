package config

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/rules"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/records/domrec"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/reject"
	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/owner"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Config is the decoded state of the control keys; its owner locks it.
type Config struct {
	// Decode turns an item into a value; it fails on what this release does not know.
	Decode func(item.Item) (value.Value, error)

	Services  map[string]*svcrec.Service
	Upstreams map[string]*upsrec.Upstream
	Domains   map[string]*domrec.Domain
	Rollouts  map[string]*rolrec.Rollout
	Members   map[string]*member.Member
	// ShardOwners is keyed by the store key of the shard.
	ShardOwners map[string]*owner.Owner
	Progress    map[string]*progrs.Progress
	Rejects     map[string]reject.Reject
	// Bounds is what callers may send, or nil when no record says.
	Bounds *bounds.Bounds

	// Revision is that of the newest record in force.
	Revision int64

	values    map[string]value.Value
	byService map[string]map[string]bool
	// byShard lists the upstreams of each shard, in order.
	byShard [tune.ShardCount][]string
	cold    map[string]coldStart
	dirty   map[string]bool
	// rank is the place of this entry among the members.
	rank int
	home string
	me   string

	byName map[string]*rulrec.Rule
	// table is built from byName, and nil after a change.
	table *rules.Rules
	// deferUntil ends the time in which removed upstreams may only have lapsed.
	deferUntil time.Time
	// deferred holds the removals of upstreams that are put off until then.
	deferred map[string]item.Item
}

// New returns an empty configuration of the entry me that stands in the failure domain home.
func New(me, home string, decode func(item.Item) (value.Value, error)) *Config {
	return &Config{
		Decode:      decode,
		Services:    map[string]*svcrec.Service{},
		Upstreams:   map[string]*upsrec.Upstream{},
		Domains:     map[string]*domrec.Domain{},
		Rollouts:    map[string]*rolrec.Rollout{},
		Members:     map[string]*member.Member{},
		ShardOwners: map[string]*owner.Owner{},
		Progress:    map[string]*progrs.Progress{},
		Rejects:     map[string]reject.Reject{},
		values:      map[string]value.Value{},
		byService:   map[string]map[string]bool{},
		cold:        map[string]coldStart{},
		dirty:       map[string]bool{},
		home:        home,
		me:          me,
		byName:      map[string]*rulrec.Rule{},
		deferred:    map[string]item.Item{},
	}
}

// Apply puts an item in force. With warmup, upstreams that are new or come back start cold.
func (c *Config) Apply(now time.Time, it item.Item, warmup bool) {
	delete(c.deferred, it.Key)
	if it.Tombstone && now.Before(c.deferUntil) && selfAnnounced(c.values[it.Key]) {
		c.deferred[it.Key] = it
		return
	}
	var v value.Value
	if !it.Tombstone {
		var err error
		if v, err = c.Decode(it); err != nil {
			c.Rejects[it.Key] = reject.Reject{Key: it.Key, Revision: it.Revision, Err: err}
			if old := c.values[it.Key]; selfAnnounced(old) {
				// What an upstream says of itself is all that is known of it.
				c.drop(now, it.Key, old)
				delete(c.values, it.Key)
			}
			return
		}
	}
	delete(c.Rejects, it.Key)
	old := c.values[it.Key]
	c.values[it.Key] = v
	c.drop(now, it.Key, old)
	c.put(now, it.Key, old, v, warmup)
	if isRecord(old) || isRecord(v) {
		c.Revision = max(c.Revision, it.Revision)
	}
	if v == (value.Value{}) {
		delete(c.values, it.Key)
	}
}

func isRecord(v value.Value) bool { return v.Record != nil || v.Batch != nil }

// selfAnnounced reports whether a value is an upstream that announces itself and has not said that it leaves.
func selfAnnounced(v value.Value) bool {
	return v.Record != nil && v.Record.Upstream != nil && v.Record.Upstream.Incarnation != 0 && !v.Record.Upstream.Drain
}

// DeferRemovals puts off the removal of upstreams until a time, as after an outage of the store in which leases lapsed.
func (c *Config) DeferRemovals(until time.Time) { c.deferUntil = until }

// ApplyDeferred carries out the removals that were put off long enough, and returns the upstreams' keys.
func (c *Config) ApplyDeferred(now time.Time) []string {
	if len(c.deferred) == 0 || now.Before(c.deferUntil) {
		return nil
	}
	var gone []string
	for key, it := range c.deferred {
		c.Apply(now, it, true)
		gone = append(gone, key)
	}
	slices.Sort(gone)
	return gone
}

// drop takes an old value out.
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
		c.dirty[r.Rollout.Service] = true
	case r.Rule != nil:
		delete(c.byName, r.Rule.Name)
		c.table = nil
	case r.Bounds != nil:
		c.Bounds = nil
	}
}

// put takes a new value in.
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
		m := *r.Rollout
		if m.Duration > 0 {
			m.Start, m.Deadline = now, now.Add(m.Duration)
		}
		c.Rollouts[m.Name] = &m
		c.dirty[m.Service] = true
		c.restoreStart(m.Name)
	case r.Rule != nil:
		c.byName[r.Rule.Name] = r.Rule
		c.table = nil
	case r.Bounds != nil:
		c.Bounds = r.Bounds
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
	known := old != nil && old.Upstream != nil && old.Upstream.Addr == u.Addr && !old.Upstream.Drain
	if warmup && !known {
		c.markCold(now, u.Name)
	}
}

// Rules returns the routing rules, or nil when there are none.
func (c *Config) Rules() *rules.Rules {
	if len(c.byName) == 0 {
		return nil
	}
	if c.table == nil {
		list := make([]*rulrec.Rule, 0, len(c.byName))
		for _, name := range slices.Sorted(maps.Keys(c.byName)) {
			list = append(list, c.byName[name])
		}
		c.table = rules.New(list)
	}
	return c.table
}

// NeedsShardOwners reports whether some service needs entries that own duties for its upstreams.
func (c *Config) NeedsShardOwners() bool {
	for _, s := range c.Services {
		if s.ColdRate == 0 || (s.ProbeRate > 0 && s.ProbesPerCall == 0) {
			return true
		}
	}
	return false
}

// AllReportWarmup reports whether all upstreams tell of their own cold starts, so that no peer has to.
func (c *Config) AllReportWarmup() bool {
	for _, u := range c.Upstreams {
		if u.Incarnation == 0 {
			return false
		}
	}
	return len(c.Upstreams) > 0
}

// indexByShard puts an upstream in the list of its shard, or takes it out.
func (c *Config) indexByShard(name string, in bool) {
	list := &c.byShard[shard.Of(name)]
	i, found := slices.BinarySearch(*list, name)
	switch {
	case in && !found:
		*list = slices.Insert(*list, i, name)
	case !in && found:
		*list = slices.Delete(*list, i, i+1)
	}
}

// ShardUpstreams lists the upstreams that belong to a shard, in order.
func (c *Config) ShardUpstreams(s shard.Shard) []string { return c.byShard[s] }

func (c *Config) markDomainDirty(domain string) {
	for _, u := range c.Upstreams {
		if u.Domain == domain {
			c.dirty[u.Service] = true
		}
	}
}

// MarkDirty marks a service as changed.
func (c *Config) MarkDirty(service string) { c.dirty[service] = true }

// MarkAllDirty marks every service as changed, as when the number of entries changed.
func (c *Config) MarkAllDirty() {
	for name := range c.Services {
		c.dirty[name] = true
	}
}

// TakeDirty returns and clears the services that changed, in order.
func (c *Config) TakeDirty() []string {
	names := make([]string, 0, len(c.dirty))
	for n := range c.dirty {
		names = append(names, n)
	}
	clear(c.dirty)
	slices.Sort(names)
	return names
}

// SetRank notes the place of this entry among the members.
func (c *Config) SetRank(n int) { c.rank = n }

// ActiveMembers returns the names of the members that do not leave, in order.
func (c *Config) ActiveMembers() []string {
	names := make([]string, 0, len(c.Members))
	for n, m := range c.Members {
		if !m.Draining {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// ServiceConfig builds the traffic side's view of a service, or nil when there is none.
func (c *Config) ServiceConfig(service string, reverted func(move string) bool) *svcfg.Config {
	s := c.Services[service]
	if s == nil {
		return nil
	}
	f := &svcfg.Config{Service: *s, EntryCount: max(1, len(c.Members)), Entry: c.me, EntryRank: c.rank, Shares: c.shares(service, reverted)}
	if s.RetryBurst > 0 {
		f.RetryBurst = max(1, s.RetryBurst/f.EntryCount)
	}
	if m := c.newestRollout(service); m != nil && !c.rolloutEnded(m.Name) {
		f.Rollout = m.Name
	}
	names := make([]string, 0, len(c.byService[service]))
	for n := range c.byService[service] {
		names = append(names, n)
	}
	slices.Sort(names)
	f.Targets = make([]target.Target, 0, len(names))
	for _, n := range names {
		f.Targets = append(f.Targets, c.target(c.Upstreams[n]))
	}
	return f
}

func (c *Config) target(u *upsrec.Upstream) target.Target {
	t := target.Target{Upstream: *u, Draining: u.Drain, ColdUntil: c.cold[u.Name].until, Incarnation: c.cold[u.Name].incarnation}
	if d := c.Domains[u.Domain]; d != nil {
		t.DomainDrained = d.Drained
		t.Delay = c.delay(d)
	} else if u.Domain != c.home {
		t.Delay = domainDelay
	}
	return t
}

// delay is the one-way delay from this entry's failure domain to another.
func (c *Config) delay(d *domrec.Domain) time.Duration {
	if d.Name == c.home {
		return 0
	}
	h := c.Domains[c.home]
	if h != nil && h.Region != d.Region {
		return regionDelay
	}
	return d.Delay
}

// domainDelay is the assumed one-way delay to a failure domain of the region that no record describes.
const domainDelay = time.Millisecond

// regionDelay is the assumed one-way delay between regions.
const regionDelay = 30 * time.Millisecond
