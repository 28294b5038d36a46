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

// followRollout begins to judge a move when there is a new one.
func (p *Pool) followRollout(f *svcfg.Config) {
	if f.Rollout == p.rollout {
		return
	}
	p.rollout, p.analyzer, p.rolledBack, p.tallies = f.Rollout, nil, false, nil
	if f.Rollout != "" {
		p.analyzer = canary.New()
	}
}

// recordCanary lets a call bear witness on the versions of a move; cold upstreams tell nothing.
func (p *Pool) recordCanary(now time.Time, s *upstreamState, ch *choice.Choice, r *result.Result) {
	if p.analyzer == nil || p.rolledBack || ch.At.Before(p.resumed) || ch.Bulk || s.cold(now) || !r.MayHaveRun() {
		return
	}
	took := r.Latency
	if r.Cause == cause.Canceled {
		took = now.Sub(ch.At)
		if !p.analyzer.IsSlow(ch.Route, took) && !(p.aggregates() && p.analyzer.IsSlowCanary(ch.Route, took)) {
			return
		}
	}
	failed := r.Cause != cause.None && r.Cause != cause.Canceled
	if !failed && r.Report != nil && r.Report.InFlight >= s.slots(p) {
		// The call may have waited for others, which says nothing of the version.
		return
	}
	to := p.config.Shares[1].Version
	var why string
	var bad bool
	switch s.target.Version {
	case to:
		p.countOutcome(s.target.Name, failed, !failed && p.analyzer.IsSlowCanary(ch.Route, took))
		why, bad = p.analyzer.RecordCanary(s.target.Name, ch.Route, p.sizeOf(to), failed, took)
	default:
		why, bad = p.analyzer.RecordBaseline(ch.Route, p.sizeOf(to), failed, took)
	}
	if bad {
		p.rollBack(now, why)
	}
}

func (p *Pool) sizeOf(version string) int {
	for i := range p.groups {
		if p.groups[i].version == version {
			return len(p.groups[i].members)
		}
	}
	return 0
}

// rollBack takes the new version's share away at once, and tells the other entries.
func (p *Pool) rollBack(now time.Time, why string) {
	p.rolledBack = true
	p.regroup()
	p.queueFact(fact.Fact{Topic: topic.RolledBack, Subject: p.rollout, Until: now.Add(tune.RollbackTTL), Detail: why})
}
