package pool

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// countOutcome counts the outcome of a call to the new version, as evidence for the entries that analyze the rollout for all.
func (p *Pool) countOutcome(upstream string, failed, slow bool) {
	if !p.poolsEvidence() {
		return
	}
	for i := range p.tallies {
		if p.tallies[i].Upstream == upstream {
			p.tallies[i].count(failed, slow)
			return
		}
	}
	p.tallies = append(p.tallies, upstreamTally{tally.Tally{Upstream: upstream}})
	p.tallies[len(p.tallies)-1].count(failed, slow)
}

// countBaseline counts the outcome of a call to the old version, which shows what is normal for the entries together.
func (p *Pool) countBaseline(failed, slow bool) {
	if p.poolsEvidence() {
		p.baseline.count(failed, slow)
	}
}

// poolsEvidence reports whether a few entries analyze the failures of rollouts for all.
func (p *Pool) poolsEvidence() bool { return p.config.EntryCount >= tune.PooledMinEntries }

// poolsSlowCalls reports whether there are so many entries that the evidence on slow answers is pooled as well. With fewer,
// each entry sees enough answers of both versions to compare them itself.
func (p *Pool) poolsSlowCalls() bool { return p.config.EntryCount >= tune.PooledSlowMinEntries }

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
// receive a bounded number each second.
func (p *Pool) PublishEvidence(now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	if len(p.tallies) == 0 || now.Sub(p.evidenceSentAt) < time.Duration(p.config.EntryCount)*tune.PooledReportGap {
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
	for _, t := range f.Tallies {
		if t.Upstream == "" {
			p.analyzer.RecordBaselineTally(t)
			continue
		}
		s := p.byName[t.Upstream]
		if s == nil || s.cold(now) {
			continue
		}
		if detail, bad := p.analyzer.RecordTally(t, p.memberCount(p.config.Shares[1].Version)); bad {
			p.rollBack(now, detail)
			return
		}
	}
}
