package config

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/accts"
	"github.com/balsamvale/balsamvale/pkg/control/rules"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/records/accrec"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/records/domrec"
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
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Config is the decoded state of the control keys, as one entry sees it.
//
// It is not safe for concurrent use.
type Config struct {
	// Decode decodes the value of an item. It returns an error for a value that this release does not know.
	Decode func(item.Item) (value.Value, error)

	Services  map[string]*svcrec.Service
	Upstreams map[string]*upsrec.Upstream
	Domains   map[string]*domrec.Domain
	Rollouts  map[string]*rolrec.Rollout
	Members   map[string]*member.Member
	// ShardOwners is keyed by the store key of the shard, the other maps of values by name.
	ShardOwners map[string]*owner.Owner
	// Progress is keyed by the name of the rollout.
	Progress map[string]*progrs.Progress
	// Rejects holds the items that could not be decoded, by store key.
	Rejects map[string]reject.Reject
	// Bounds limits what callers may send; it is nil when no record sets limits.
	Bounds *bounds.Bounds

	// Revision is the highest revision at which a record was put in force or removed.
	Revision revno.Revision
	// OperatorRevision is the highest revision at which a service, a routing rule, Bounds or a client account was put in force or removed.
	OperatorRevision revno.Revision
	// Version is the number that the operators gave the last batch; 0 if there is none.
	Version int64

	// defects is the number of defects of the records in force.
	defects int
	// items holds the item in force of each store key, and values its value.
	items  map[string]item.Item
	values map[string]value.Value
	// byService is the set of upstream names of each service.
	byService map[string]map[string]bool
	// byShard holds the upstream names of each shard, sorted.
	byShard [tune.ShardCount][]string
	// coldStarts holds the cold start of each upstream, by name.
	coldStarts map[string]coldStart
	// dirty is the set of services that changed since the last TakeDirty.
	dirty map[string]bool
	// rank is the index of this entry among the active members, sorted by name.
	rank int
	// homeDomain is the failure domain of this entry.
	homeDomain string
	// self is the name of this entry.
	self string

	// rules holds the routing rules. Their names alone do not tell them apart, as those of a batch may share one.
	rules map[ruleKey]*rulrec.Rule
	// ruleTable is built from rules on demand, and nil after a change.
	ruleTable *rules.Rules
	// accounts holds the client accounts by name.
	accounts map[string]*accrec.Account
	// accountTable is built from accounts on demand, and nil after a change.
	accountTable *accts.Table
	// deferUntil is when the deferral of removals ends. Until then, an upstream may have been removed merely because its
	// lease expired during an outage of the store.
	deferUntil time.Time
	// deferred holds the items that wait, by store key: removals of upstreams, and what an older copy of the store holds.
	deferred map[string]deferredItem
	restored restoration
	// removed holds the last removals, by store key.
	removed map[string]removal
	// carried is the progress that was taken over from a rollout of another name and is not in the store, by store key.
	carried map[string]*progrs.Progress
	// predecessors holds the names that rollouts had before their orders were written again, by the name they have now.
	predecessors map[string][]string
	// replaced holds the order that the one in force has replaced, by store key.
	replaced map[string]item.Item
	// rewritten is the set of store keys of orders that were written again in this era although the copy had them.
	rewritten map[string]bool
}

// ruleKey tells routing rules apart.
type ruleKey struct{ name, host, path string }

func keyOf(r *rulrec.Rule) ruleKey { return ruleKey{r.Name, r.Host, r.Path} }

// compare compares two keys by name, host and path, as cmp.Compare does.
func (k ruleKey) compare(other ruleKey) int {
	return cmp.Or(cmp.Compare(k.name, other.name), cmp.Compare(k.host, other.host), cmp.Compare(k.path, other.path))
}

// New returns an empty configuration for the entry named self in the failure domain homeDomain.
func New(self, homeDomain string, decode func(item.Item) (value.Value, error)) *Config {
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
		items:       map[string]item.Item{},
		values:      map[string]value.Value{},
		byService:   map[string]map[string]bool{},
		coldStarts:  map[string]coldStart{},
		dirty:       map[string]bool{},
		homeDomain:  homeDomain,
		self:        self,
		rules:       map[ruleKey]*rulrec.Rule{},
		accounts:    map[string]*accrec.Account{},
		deferred:    map[string]deferredItem{},
		removed:     map[string]removal{},
		carried:     map[string]*progrs.Progress{},

		predecessors: map[string][]string{},
		replaced:     map[string]item.Item{},
		rewritten:    map[string]bool{},
	}
}

// Apply puts an item in force, or removes the value of its key if the item is a tombstone.
//
// An item that cannot be decoded is added to Rejects, and the old value stays in force, except for that of an upstream
// that announces itself and is not draining. The removal of such an upstream may be deferred, see DeferRemovals, and so may any
// item of an older copy of the store, see Restored. If warmup is set, an upstream that operators list starts cold when it is new, has a new address, was draining, or is
// part of a batch.
func (c *Config) Apply(now time.Time, it item.Item, warmup bool) {
	d, waits := c.deferred[it.Key]
	due, restored := c.waitsAfterRestore(now, it)
	switch {
	case restored:
		if !waits || !it.Tombstone {
			c.deferred[it.Key] = deferredItem{it, due}
		}
		return
	case it.Tombstone && selfAnnounced(c.values[it.Key]) && waits && d.item.Tombstone:
		return
	case it.Tombstone && selfAnnounced(c.values[it.Key]) && !waits && now.Before(c.deferUntil):
		c.deferred[it.Key] = deferredItem{it, c.deferUntil}
		return
	}
	c.apply(now, it, warmup)
}

// apply is Apply for an item that is not deferred.
func (c *Config) apply(now time.Time, it item.Item, warmup bool) {
	if _, waits := c.deferred[it.Key]; waits && it.Tombstone {
		// A removal of what was kept out changes nothing more, but is in force.
		c.raiseRevision(it, c.removed[it.Key].value, value.Value{})
	}
	delete(c.deferred, it.Key)
	delete(c.carried, it.Key)
	if c.unchanged(it) {
		c.items[it.Key] = it
		c.raiseRevision(it, c.values[it.Key], value.Value{})
		return
	}
	var v value.Value
	if !it.Tombstone {
		var err error
		if v, err = c.Decode(it); err != nil {
			old := c.values[it.Key]
			c.Rejects[it.Key] = reject.Reject{Key: it.Key, Revision: it.Revision, Err: err}
			if selfAnnounced(old) {
				// Nothing but its announcement is known of such an upstream, so the old announcement cannot stay in force.
				c.drop(now, it.Key, old)
				delete(c.values, it.Key)
				delete(c.items, it.Key)
			}
			return
		}
	}
	delete(c.Rejects, it.Key)
	old := c.values[it.Key]
	again := c.resumptionOf(now, it, old, v)
	c.noteOrder(it, old, v, again)
	if it.Tombstone {
		c.noteRemoval(now, it)
		delete(c.items, it.Key)
	} else {
		delete(c.removed, it.Key)
		c.items[it.Key] = it
	}
	c.values[it.Key] = v
	c.drop(now, it.Key, old)
	c.put(now, it.Key, old, v, warmup)
	if again != nil {
		c.resume(again, v.Record.Rollout)
	}
	c.raiseRevision(it, old, v)
	if v == (value.Value{}) {
		delete(c.values, it.Key)
	}
}

// raiseRevision records that an item came into force, which replaced an old value by another.
func (c *Config) raiseRevision(it item.Item, old, v value.Value) {
	if isRecord(old) || isRecord(v) {
		c.Revision = max(c.Revision, it.Revision)
	}
	if isOperators(old) || isOperators(v) {
		c.OperatorRevision = max(c.OperatorRevision, it.Revision)
	}
}

// isRecord reports whether a value is a record or a batch of records.
func isRecord(v value.Value) bool { return v.Record != nil || v.Batch != nil }

// isOperators reports whether a value is a batch, or the record of a service, a routing rule, limits or a client account.
func isOperators(v value.Value) bool {
	r := v.Record
	return v.Batch != nil || r != nil && (r.Service != nil || r.Rule != nil || r.Bounds != nil || r.Account != nil)
}

// selfAnnounced reports whether a value is an upstream that announces itself and is not draining.
func selfAnnounced(v value.Value) bool { return isAnnounced(v) && !v.Record.Upstream.Drain }

// DeferRemovals defers the removal of upstreams that announce themselves and are not draining until a time. Removals that are
// deferred already stay due when they were.
//
// It is meant for the end of an outage of the store: the leases of running upstreams may have expired during the outage.
func (c *Config) DeferRemovals(until time.Time) { c.deferUntil = until }

// ApplyDeferred applies the deferred items once their time has come, and returns them sorted by key.
func (c *Config) ApplyDeferred(now time.Time) []item.Item {
	c.sweepRemovals(now)
	var applied []item.Item
	for _, d := range c.deferred {
		if now.Before(d.due) {
			continue
		}
		c.apply(now, d.item, true)
		applied = append(applied, d.item)
	}
	slices.SortFunc(applied, func(a, b item.Item) int { return cmp.Compare(a.Key, b.Key) })
	return applied
}

// Rules returns the table of the routing rules, or nil when there are none.
func (c *Config) Rules() *rules.Rules {
	if len(c.rules) == 0 {
		return nil
	}
	if c.ruleTable == nil {
		list := make([]*rulrec.Rule, 0, len(c.rules))
		for _, key := range slices.SortedFunc(maps.Keys(c.rules), ruleKey.compare) {
			list = append(list, c.rules[key])
		}
		c.ruleTable = rules.New(list)
	}
	return c.ruleTable
}

// NotInForce returns the items that could not be decoded and the defects of those that are in force, sorted by key.
func (c *Config) NotInForce() []reject.Reject {
	out := slices.SortedFunc(maps.Values(c.Rejects), func(a, b reject.Reject) int { return cmp.Compare(a.Key, b.Key) })
	for key, v := range c.values {
		if v.Batch == nil {
			continue
		}
		for _, d := range v.Batch.Defects {
			out = append(out, reject.Reject{Key: key, Revision: c.items[key].Revision, Err: d})
		}
	}
	slices.SortStableFunc(out, func(a, b reject.Reject) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// CountNotInForce returns the length of the list that NotInForce returns.
func (c *Config) CountNotInForce() int { return len(c.Rejects) + c.defects }

// Accounts returns the table of the client accounts, or nil when there are none.
func (c *Config) Accounts() *accts.Table {
	if c.accountTable == nil && len(c.accounts) > 0 {
		list := make([]*accrec.Account, 0, len(c.accounts))
		for _, name := range slices.Sorted(maps.Keys(c.accounts)) {
			list = append(list, c.accounts[name])
		}
		c.accountTable = accts.New(list)
	}
	return c.accountTable
}

// NeedsShardOwners reports whether any service needs shard owners, to issue credits or to probe its upstreams.
func (c *Config) NeedsShardOwners() bool {
	for _, s := range c.Services {
		if s.ColdRate == 0 || (s.ProbeRate > 0 && s.ProbesPerCall == 0) {
			return true
		}
	}
	return false
}

// AllReportWarmup reports whether all upstreams announce their own warm-up, so that no peer has to report it.
//
// It returns false without upstreams.
func (c *Config) AllReportWarmup() bool {
	for _, u := range c.Upstreams {
		if u.Incarnation == 0 {
			return false
		}
	}
	return len(c.Upstreams) > 0
}

// indexByShard adds an upstream to the list of its shard, or removes it if present is false.
func (c *Config) indexByShard(name string, present bool) {
	list := &c.byShard[shard.Of(name)]
	i, found := slices.BinarySearch(*list, name)
	switch {
	case present && !found:
		*list = slices.Insert(*list, i, name)
	case !present && found:
		*list = slices.Delete(*list, i, i+1)
	}
}

// ShardUpstreams returns the sorted names of the upstreams in a shard. The caller must not modify the slice.
func (c *Config) ShardUpstreams(s shard.Shard) []string { return c.byShard[s] }

// markDomainDirty marks the services with upstreams in a failure domain as changed.
func (c *Config) markDomainDirty(domain string) {
	for _, u := range c.Upstreams {
		if u.Domain == domain {
			c.dirty[u.Service] = true
		}
	}
}

// MarkDirty marks a service as changed.
func (c *Config) MarkDirty(service string) { c.dirty[service] = true }

// MarkAllDirty marks every service as changed, for example when the number of entries has changed.
func (c *Config) MarkAllDirty() {
	for name := range c.Services {
		c.dirty[name] = true
	}
}

// TakeDirty returns the sorted names of the services that changed since the last call.
func (c *Config) TakeDirty() []string {
	names := make([]string, 0, len(c.dirty))
	for n := range c.dirty {
		names = append(names, n)
	}
	clear(c.dirty)
	slices.Sort(names)
	return names
}

// SetRank sets the index of this entry among the active members.
func (c *Config) SetRank(rank int) { c.rank = rank }

// ActiveMembers returns the sorted names of the members that are not draining.
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

// ServiceConfig builds the configuration of a service for the traffic side, or returns nil if there is no such service.
//
// The function rolledBack reports whether an entry has reported a rollout as rolled back.
func (c *Config) ServiceConfig(service string, rolledBack func(rollout string) bool) *svcfg.Config {
	s := c.Services[service]
	if s == nil {
		return nil
	}
	cfg := &svcfg.Config{Service: *s, EntryCount: max(1, len(c.Members)), Entry: c.self, EntryRank: c.rank, Shares: c.shares(service, rolledBack)}
	if s.RetryBurst > 0 {
		cfg.RetryBurst = max(1, s.RetryBurst/cfg.EntryCount)
	}
	if r := c.newestRollout(service); r != nil && !c.rolloutEnded(r.Name) {
		cfg.Rollout = r.Name
	}
	names := make([]string, 0, len(c.byService[service]))
	for n := range c.byService[service] {
		names = append(names, n)
	}
	slices.Sort(names)
	cfg.Targets = make([]target.Target, 0, len(names))
	for _, n := range names {
		cfg.Targets = append(cfg.Targets, c.target(c.Upstreams[n]))
	}
	return cfg
}

func (c *Config) target(u *upsrec.Upstream) target.Target {
	t := target.Target{Upstream: *u, Draining: u.Drain, ColdUntil: c.coldStarts[u.Name].until, Incarnation: c.coldStarts[u.Name].incarnation}
	if d := c.Domains[u.Domain]; d != nil {
		t.DomainDrained = d.Drained
		t.Delay = c.delay(d)
	} else if u.Domain != c.homeDomain {
		t.Delay = defaultDomainDelay
	}
	return t
}

// delay returns the one-way delay from this entry's failure domain to another.
func (c *Config) delay(d *domrec.Domain) time.Duration {
	if d.Name == c.homeDomain {
		return 0
	}
	own := c.Domains[c.homeDomain]
	if own != nil && own.Region != d.Region {
		return crossRegionDelay
	}
	return d.Delay
}

// defaultDomainDelay is the assumed one-way delay to another failure domain that no record describes; it is taken to be
// in the same region.
const defaultDomainDelay = time.Millisecond

// crossRegionDelay is the assumed one-way delay between regions.
const crossRegionDelay = 30 * time.Millisecond
