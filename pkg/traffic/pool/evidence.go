package pool

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// countOutcome counts how a call of the new version ended, for the entries that judge the move for all.
func (p *Pool) countOutcome(upstream string, failed, slow bool) {
	if !p.aggregates() {
		return
	}
	for i := range p.tallies {
		if p.tallies[i].Upstream == upstream {
			p.tallies[i].count(failed, slow)
			return
		}
	}
	p.tallies = append(p.tallies, outcomes{tally.Tally{Upstream: upstream}})
	p.tallies[len(p.tallies)-1].count(failed, slow)
}

// aggregates reports whether a few entries judge moves for all.
func (p *Pool) aggregates() bool { return p.config.EntryCount >= tune.PooledMinEntries }

// outcomes are those of one upstream since the last report.
type outcomes struct{ tally.Tally }

func (o *outcomes) count(failed, slow bool) {
	o.Calls++
	if failed {
		o.Failures++
	}
	if slow {
		o.SlowCalls++
	}
}

// PublishEvidence tells now and then how the calls of a move's new version have ended since.
//
// The time between two reports grows with the fleet, so that the entries that judge for all hear a bounded number a second.
func (p *Pool) PublishEvidence(now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	if len(p.tallies) == 0 || now.Sub(p.toldAt) < time.Duration(p.config.EntryCount)*tune.PooledReportGap {
		return
	}
	f := fact.Fact{Topic: topic.Evidence, Subject: p.rollout, Until: now.Add(tune.PeerTimeout)}
	for _, o := range p.tallies {
		f.Tallies = append(f.Tallies, o.Tally)
	}
	p.tallies, p.toldAt = nil, now
	p.queueFact(f)
}

// mergeEvidence takes in what another entry saw of the new version.
func (p *Pool) mergeEvidence(now time.Time, f fact.Fact) {
	if p.analyzer == nil || p.rolledBack || f.Subject != p.rollout {
		return
	}
	for _, t := range f.Tallies {
		s := p.byName[t.Upstream]
		if s == nil || s.cold(now) {
			continue
		}
		if why, bad := p.analyzer.RecordTally(t, p.sizeOf(p.config.Shares[1].Version)); bad {
			p.rollBack(now, why)
			return
		}
	}
}
