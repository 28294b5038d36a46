package core

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/accts"
	"github.com/balsamvale/balsamvale/pkg/records/bounds"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/shared/basis"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// Service returns a service and its pool; both are nil for an unknown service.
func (co *Core) Service(name string) (*svcrec.Service, *pool.Pool) {
	view := co.view.Load()
	cfg := view.snapshot.Services[name]
	if cfg == nil {
		return nil, nil
	}
	return &cfg.Service, view.pools[name]
}

// VisitLimits calls visit for each service with its admission limit in this entry, in calls, the number of calls that wait
// for admission, and the number of upstreams that name a limit.
func (co *Core) VisitLimits(visit func(service string, limit, waiting, limited int)) {
	for name, p := range co.view.Load().pools {
		limit, waiting := p.AdmissionStats()
		visit(name, limit, waiting, p.LimitedUpstreams())
	}
}

// VisitRoom calls visit for each service with the number of calls that this entry lost at upstreams without room, and the margin
// that it keeps free there.
func (co *Core) VisitRoom(visit func(service string, lost int, margin float64)) {
	for name, p := range co.view.Load().pools {
		lost, margin := p.RoomStats(co.clock.Now())
		visit(name, lost, margin)
	}
}

// Rule returns the routing rule for a host and path, or nil if none matches; known is false when there are no rules.
func (co *Core) Rule(host, path string) (r *rulrec.Rule, known bool) {
	rules := co.view.Load().snapshot.Rules
	if rules == nil {
		return nil, false
	}
	return rules.Find(host, path), true
}

// ConfigAge returns the time since the configuration was last known to match the store; ok is false until control has
// received a configuration.
func (co *Core) ConfigAge() (age time.Duration, ok bool) {
	matched := co.matched.Load()
	if matched == nil {
		return 0, false
	}
	return matched.Age(co.clock.Now())
}

// AccountsAge returns the time since the client accounts were last known to match the store, in which a pause of the host and a
// change of its clock count; negative until control has received a configuration.
func (co *Core) AccountsAge() time.Duration {
	age, ok := co.ConfigAge()
	if !ok {
		return -1
	}
	return age
}

// Accounts returns the table of the client accounts, or nil if there are none.
func (co *Core) Accounts() *accts.Table { return co.view.Load().snapshot.Accounts }

// NotInForce returns the number of records, and of parts of records, that cannot be read.
func (co *Core) NotInForce() int { return co.view.Load().snapshot.NotInForce }

// Revision returns the revision of the configuration in force, or 0 while there is none.
func (co *Core) Revision() revno.Revision { return co.view.Load().snapshot.Revision }

// Basis returns the revision of the configuration in force, and the time since it was last known to match the store. What is
// looked up later is of that revision or a later one.
func (co *Core) Basis() basis.Basis {
	age, ok := co.ConfigAge()
	if !ok {
		age = -1
	}
	return basis.Basis{Revision: co.Revision(), Age: age}
}

// Bounds returns the limits that operators have set on what callers may send, or nil if only the settings apply.
func (co *Core) Bounds() *bounds.Bounds { return co.view.Load().snapshot.Bounds }

// Entries returns the number of entries in the fleet as far as this entry knows; it is 1 while no service is known.
func (co *Core) Entries() int {
	for _, cfg := range co.view.Load().snapshot.Services {
		return cfg.EntryCount
	}
	return 1
}

// Rank returns the index of this entry among the active ones as far as it knows; it is 0 while no service is known.
func (co *Core) Rank() int {
	for _, cfg := range co.view.Load().snapshot.Services {
		return max(0, cfg.EntryRank)
	}
	return 0
}

// Ready reports whether the entry should get calls: it has a configuration and is not stopping.
func (co *Core) Ready() bool { return co.ready.Load() && !co.stopping.Load() }

// Configured reports whether the operators' configuration is in force: a service, a routing rule, limits or a client account. Without one, what the
// entry does not know may exist.
func (co *Core) Configured() bool { return co.view.Load().snapshot.OperatorRevision > 0 }
