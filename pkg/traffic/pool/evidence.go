package pool

import (
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// countOutcome counts the outcome of a call to the new version, as evidence for the entries that analyze the rollout for all.
func (p *Pool) countOutcome(upstream, route string, failed bool, took time.Duration) {
	if !p.poolsEvidence() {
		return
	}
	i := slices.IndexFunc(p.tallies, func(t upstreamTally) bool { return t.Upstream == upstream })
	if i < 0 {
		i = len(p.tallies)
		p.tallies = append(p.tallies, upstreamTally{tally.Tally{Upstream: upstream}})
	}
	t := &p.tallies[i]
	if failed || p.analyzer.CanCompare(route) {
		t.count(failed, !failed && p.analyzer.IsSlowCanary(route, took))
	} else if len(t.UnjudgedTimes) < tune.MaxUnjudgedTimes {
		t.UnjudgedTimes = append(t.UnjudgedTimes, took)
	}
}

// countBaseline counts the outcome of a call to the old version, which shows what is normal for the entries together.
func (p *Pool) countBaseline(route string, failed bool, took time.Duration) {
	if !p.poolsEvidence() {
		return
	}
	p.baseline.count(failed, !failed && p.analyzer.IsSlowCanary(route, took))
	if !failed {
		p.baseline.TotalTime += took
	}
}

// poolsEvidence reports whether a few entries analyze rollouts for all.
func (p *Pool) poolsEvidence() bool { return p.config.EntryCount >= tune.PooledMinEntries }

// upstreamTally counts the outcomes at one upstream since evidence was last sent.
type upstreamTally struct{ tally.Tally }

func (t *upstreamTally) count(failed, slow bool) {
	t.Calls++
	if failed {
		t.Failures++
	}
	if slow {
		t.SlowCalls++
	}
}

// PublishEvidence sends the outcomes of calls to the new version of a rollout that were counted since it last sent some, with
// those of calls to the old version.
//
// The time between two such facts grows with the number of entries, so that the entries that analyze the rollout for all
// receive a bounded number each second. Outcomes of the old version alone are sent less often.
func (p *Pool) PublishEvidence(now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	if len(p.tallies) == 0 && p.baseline.Calls == 0 {
		return
	}
	gap := time.Duration(p.config.EntryCount) * tune.PooledReportGap
	if len(p.tallies) == 0 {
		gap *= tune.PooledBaselineGaps
	}
	if now.Sub(p.evidenceSentAt) < gap {
		return
	}
	f := fact.Fact{Topic: topic.Evidence, Subject: p.rollout, Until: now.Add(tune.PeerTimeout)}
	if p.baseline.Calls > 0 {
		f.Tallies = append(f.Tallies, p.baseline.Tally)
	}
	for _, t := range p.tallies {
		f.Tallies = append(f.Tallies, t.Tally)
	}
	p.tallies, p.baseline, p.evidenceSentAt = nil, upstreamTally{}, now
	p.queueFact(f)
}

// mergeEvidence adds the outcomes that another entry saw to the canary analysis, except those of cold or unknown upstreams of
// the new version, and rolls back when that is bad.
func (p *Pool) mergeEvidence(now time.Time, f fact.Fact) {
	if p.analyzer == nil || p.rolledBack || f.Subject != p.rollout {
		return
	}
	upstreams := p.memberCount(p.config.Shares[1].Version)
	for _, t := range f.Tallies {
		record := p.analyzer.RecordTally
		if t.Upstream == "" {
			record = p.analyzer.RecordBaselineTally
		} else if s := p.byName[t.Upstream]; s == nil || s.cold(now) {
			continue
		}
		if detail, bad := record(t, upstreams); bad {
			p.rollBack(now, detail)
			return
		}
	}
}
