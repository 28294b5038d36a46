package config

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/rules"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/records/domrec"
	"github.com/balsamvale/balsamvale/pkg/records/movrec"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/reject"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/fleet"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/tenure"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Config is the decoded state of the control keys; its owner locks it.
type Config struct {
	// Decode turns an item into a value; it fails on what this release does not know.
	Decode func(item.Item) (value.Value, error)

	Services  map[string]*svcrec.Service
	Upstreams map[string]*upsrec.Upstream
	Domains   map[string]*domrec.Domain
	Moves     map[string]*movrec.Move
	Members   map[string]*member.Member
	// Tenures is keyed by the store key of the shard.
	Tenures  map[string]*tenure.Tenure
	Progress map[string]*progrs.Progress
	Rejects  map[string]reject.Reject
	// Bounds is what callers may send, or nil when no record says.
	Bounds *bounds.Bounds

	// Revision is that of the newest record in force.
	Revision int64

	keys      map[string]value.Value
	byService map[string]map[string]bool
	// byShard lists the upstreams of each shard, in order.
	byShard [tune.Shards][]string
	cold    map[string]coldStart
	dirty   map[string]bool
	// rank is the place of this entry among the members.
	rank int
	home string
	me   string

	byName map[string]*rulrec.Rule
	// table is built from byName, and nil after a change.
	table *rules.Rules
	// doubtUntil ends the time in which removed upstreams may only have lapsed.
	doubtUntil time.Time
	// lapsed holds the removals of upstreams that are put off until then.
	lapsed map[string]item.Item
}

// New returns an empty configuration of the entry me that stands in the failure domain home.
func New(me, home string, decode func(item.Item) (value.Value, error)) *Config {
	return &Config{
		Decode:    decode,
		Services:  map[string]*svcrec.Service{},
		Upstreams: map[string]*upsrec.Upstream{},
		Domains:   map[string]*domrec.Domain{},
		Moves:     map[string]*movrec.Move{},
		Members:   map[string]*member.Member{},
		Tenures:   map[string]*tenure.Tenure{},
		Progress:  map[string]*progrs.Progress{},
		Rejects:   map[string]reject.Reject{},
		keys:      map[string]value.Value{},
		byService: map[string]map[string]bool{},
		cold:      map[string]coldStart{},
		dirty:     map[string]bool{},
		home:      home,
		me:        me,
		byName:    map[string]*rulrec.Rule{},
		lapsed:    map[string]item.Item{},
	}
}

// Apply puts an item in force. With warmup, upstreams that are new or come back start cold.
func (c *Config) Apply(now time.Time, it item.Item, warmup bool) {
	delete(c.lapsed, it.Key)
	if it.Gone && now.Before(c.doubtUntil) && announced(c.keys[it.Key]) {
		c.lapsed[it.Key] = it
		return
	}
	var v value.Value
	if !it.Gone {
		var err error
		if v, err = c.Decode(it); err != nil {
			c.Rejects[it.Key] = reject.Reject{Key: it.Key, Revision: it.Revision, Err: err}
			if old := c.keys[it.Key]; announced(old) {
				// What an upstream says of itself is all that is known of it.
				c.drop(now, it.Key, old)
				delete(c.keys, it.Key)
			}
			return
		}
	}
	delete(c.Rejects, it.Key)
	old := c.keys[it.Key]
	c.keys[it.Key] = v
	c.drop(now, it.Key, old)
	c.put(now, it.Key, old, v, warmup)
	if isRecord(old) || isRecord(v) {
		c.Revision = max(c.Revision, it.Revision)
	}
	if v == (value.Value{}) {
		delete(c.keys, it.Key)
	}
}

func isRecord(v value.Value) bool { return v.Record != nil || v.Batch != nil }

// announced reports whether a value is an upstream that announces itself and has not said that it leaves.
func announced(v value.Value) bool {
	return v.Record != nil && v.Record.Upstream != nil && v.Record.Upstream.Boot != 0 && !v.Record.Upstream.Leave
}

// Doubt puts off the removal of upstreams until a time, as after an outage of the store in which leases lapsed.
func (c *Config) Doubt(until time.Time) { c.doubtUntil = until }

// Sweep carries out the removals that were put off long enough, and returns the upstreams' keys.
func (c *Config) Sweep(now time.Time) []string {
	if len(c.lapsed) == 0 || now.Before(c.doubtUntil) {
		return nil
	}
	var gone []string
	for key, it := range c.lapsed {
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
	case v.Tenure != nil:
		delete(c.Tenures, key)
	case v.Progress != nil:
		c.touchMove(v.Progress.Move)
		delete(c.Progress, v.Progress.Move)
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
		c.index(r.Upstream.Name, false)
		delete(c.byService[r.Upstream.Service], r.Upstream.Name)
		c.dirty[r.Upstream.Service] = true
	case r.Domain != nil:
		delete(c.Domains, r.Domain.Name)
		c.touchDomain(r.Domain.Name)
		if r.Domain.Out {
			c.chillDomain(now, r.Domain.Name)
		}
	case r.Move != nil:
		delete(c.Moves, r.Move.Name)
		c.dirty[r.Move.Service] = true
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
	case v.Tenure != nil:
		c.Tenures[key] = v.Tenure
	case v.Progress != nil:
		c.Progress[v.Progress.Move] = v.Progress
		c.touchMove(v.Progress.Move)
		c.resume(v.Progress.Move)
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
		c.touchDomain(r.Domain.Name)
		if old != nil && old.Domain != nil && old.Domain.Out && !r.Domain.Out {
			c.chillDomain(now, r.Domain.Name)
		}
	case r.Move != nil:
		m := *r.Move
		if m.Span > 0 {
			m.Start, m.Deadline = now, now.Add(m.Span)
		}
		c.Moves[m.Name] = &m
		c.dirty[m.Service] = true
		c.resume(m.Name)
	case r.Rule != nil:
		c.byName[r.Rule.Name] = r.Rule
		c.table = nil
	case r.Bounds != nil:
		c.Bounds = r.Bounds
	}
}

func (c *Config) putUpstream(now time.Time, old *record.Record, u *upsrec.Upstream, warmup bool) {
	c.Upstreams[u.Name] = u
	c.index(u.Name, true)
	if c.byService[u.Service] == nil {
		c.byService[u.Service] = map[string]bool{}
	}
	c.byService[u.Service][u.Name] = true
	c.dirty[u.Service] = true
	if u.Boot != 0 {
		c.announce(now, u)
		return
	}
	known := old != nil && old.Upstream != nil && old.Upstream.Addr == u.Addr && !old.Upstream.Leave
	if warmup && !known {
		c.chill(now, u.Name)
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

// Owned reports whether some service needs entries that own duties for its upstreams.
func (c *Config) Owned() bool {
	for _, s := range c.Services {
		if s.Rate == 0 || (s.Budget > 0 && s.Ask == 0) {
			return true
		}
	}
	return false
}

// Quiet reports whether all upstreams tell of their own cold starts, so that no peer has to.
func (c *Config) Quiet() bool {
	for _, u := range c.Upstreams {
		if u.Boot == 0 {
			return false
		}
	}
	return len(c.Upstreams) > 0
}

// index puts an upstream in the list of its shard, or takes it out.
func (c *Config) index(name string, in bool) {
	list := &c.byShard[shard.Of(name)]
	i, found := slices.BinarySearch(*list, name)
	switch {
	case in && !found:
		*list = slices.Insert(*list, i, name)
	case !in && found:
		*list = slices.Delete(*list, i, i+1)
	}
}

// Shard lists the upstreams that belong to a shard, in order.
func (c *Config) Shard(s shard.Shard) []string { return c.byShard[s] }

func (c *Config) touchDomain(domain string) {
	for _, u := range c.Upstreams {
		if u.Domain == domain {
			c.dirty[u.Service] = true
		}
	}
}

// Touch marks a service as changed.
func (c *Config) Touch(service string) { c.dirty[service] = true }

// TouchAll marks every service as changed, as when the number of entries changed.
func (c *Config) TouchAll() {
	for name := range c.Services {
		c.dirty[name] = true
	}
}

// Dirty returns and clears the services that changed, in order.
func (c *Config) Dirty() []string {
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

// Live returns the names of the members that do not leave, in order.
func (c *Config) Live() []string {
	names := make([]string, 0, len(c.Members))
	for n, m := range c.Members {
		if !m.Leave {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// Fleet builds the traffic side's view of a service, or nil when there is none.
func (c *Config) Fleet(service string, reverted func(move string) bool) *fleet.Fleet {
	s := c.Services[service]
	if s == nil {
		return nil
	}
	f := &fleet.Fleet{Service: *s, Entries: max(1, len(c.Members)), Entry: c.me, Rank: c.rank, Shares: c.shares(service, reverted)}
	if s.Burst > 0 {
		f.RetryBurst = max(1, s.Burst/f.Entries)
	}
	if m := c.current(service); m != nil && !c.ended(m.Name) {
		f.Move = m.Name
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
	t := target.Target{Upstream: *u, Leaving: u.Leave, Cold: c.cold[u.Name].until, Boot: c.cold[u.Name].boot}
	if d := c.Domains[u.Domain]; d != nil {
		t.Out = d.Out
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
