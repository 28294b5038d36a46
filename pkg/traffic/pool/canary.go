package pool

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/canary"
)

// followRollout starts a new canary analysis when the rollout of the service changes, and ends it when there is none.
func (p *Pool) followRollout(cfg *svcfg.Config) {
	if cfg.Rollout == p.rollout {
		return
	}
	p.rollout, p.analyzer, p.rolledBack, p.tallies, p.baseline = cfg.Rollout, nil, false, nil, upstreamTally{}
	if cfg.Rollout != "" {
		p.analyzer = canary.New()
	}
}

// recordCanary feeds the outcome of an attempt to the canary analysis and rolls back when the new version is bad.
//
// Attempts that say nothing about the versions are left out: those sent before the entry's last pause ended, bulk calls,
// attempts at cold upstreams and those that cannot have run. A canceled attempt counts only if it was slow already.
func (p *Pool) recordCanary(now time.Time, s *upstreamState, ch *choice.Choice, r *result.Result) {
	if p.analyzer == nil || p.rolledBack || ch.At.Before(p.resumedAt) || ch.Bulk || s.cold(now) || !r.MayHaveRun() {
		return
	}
	took := r.Latency
	if r.Cause == cause.Canceled {
		took = now.Sub(ch.At)
		if !p.analyzer.IsSlow(ch.Route, took) && !(p.poolsEvidence() && p.analyzer.IsSlowCanary(ch.Route, took)) {
			return
		}
	}
	failed := r.Cause != cause.None && r.Cause != cause.Canceled
	if !failed && (ch.Load >= float64(s.slots(p)) || r.Report != nil && r.Report.InFlight >= s.slots(p)) {
		// All slots were or are busy: the call may have waited for others, which says nothing about the version.
		return
	}
	p.analyzer.Pooled = p.poolsEvidence()
	to := p.config.Shares[1].Version
	var detail string
	var bad bool
	switch s.target.Version {
	case to:
		p.countOutcome(s.target.Name, ch.Route, failed, took)
		detail, bad = p.analyzer.RecordCanary(s.target.Name, ch.Route, p.memberCount(to), failed, took)
	default:
		p.countBaseline(ch.Route, failed, took)
		detail, bad = p.analyzer.RecordBaseline(ch.Route, p.memberCount(to), failed, took)
	}
	if bad {
		p.rollBack(now, detail)
	}
}

// memberCount returns the number of available upstreams in the group of a version; 0 without such a group.
func (p *Pool) memberCount(version string) int {
	for i := range p.groups {
		if p.groups[i].version == version {
			return len(p.groups[i].members)
		}
	}
	return 0
}

// rollBack takes all traffic away from the new version at once and tells the other entries; detail is the evidence.
func (p *Pool) rollBack(now time.Time, detail string) {
	p.rolledBack = true
	p.regroup()
	p.queueFact(fact.Fact{Topic: topic.RolledBack, Subject: p.rollout, Until: now.Add(tune.RollbackTTL), Detail: detail})
}
