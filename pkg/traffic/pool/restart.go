package pool

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/report"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
)

// applyAnnouncement applies what an upstream announced about itself in the store. For a new incarnation, it first clears what
// is known of the earlier one. The new one started before now, and later than any report of the earlier one says.
func (s *upstreamState) applyAnnouncement(p *Pool, t *target.Target) {
	if t.Upstream.Incarnation != s.incarnation {
		s.incarnation = t.Upstream.Incarnation
		s.startedAt = p.now
		s.breaker.Succeed()
		s.wallet.Clear()
		s.dialFailed, s.failureRate, s.coldUntil, s.drainUntil = false, 0, time.Time{}, time.Time{}
		s.keptConn, s.consecutiveCloses = false, 0
		s.turns.SetLimit(0)
		s.leaving, s.pausedUntil = false, time.Time{}
	}
	if t.ColdUntil.After(s.coldUntil) {
		s.markColdUntil(p, t.ColdUntil)
	}
}

// trackIncarnation follows restarts and the cold state of the upstream, and reports whether the report is of the current
// incarnation rather than of an earlier one.
func (s *upstreamState) trackIncarnation(p *Pool, now time.Time, r *report.Report) bool {
	if r.Incarnation == 0 {
		return true
	}
	started := now.Add(-r.Uptime)
	if r.Incarnation != s.incarnation {
		if s.incarnation != 0 && started.Before(s.startedAt) {
			return false
		}
		known := s.incarnation != 0
		s.resetAt = time.Time{}
		s.incarnation, s.startedAt = r.Incarnation, started
		s.wallet.Clear()
		if known || s.cold(now) || r.Cold {
			s.markCold(p, now, r)
		}
		return true
	}
	if r.Cold && !s.cold(now) {
		s.markCold(p, now, r)
	}
	if !r.Cold && r.Uptime >= p.config.Service.Warmup {
		s.coldUntil = time.Time{}
	}
	return true
}

// markCold marks the upstream cold for the rest of its warm-up and tells the other entries. An upstream that reports itself
// as cold stays so for at least half of the warm-up. If no warm-up is left, it marks the upstream warm.
func (s *upstreamState) markCold(p *Pool, now time.Time, r *report.Report) {
	left := p.config.Service.Warmup - r.Uptime
	if r.Cold {
		left = max(left, p.config.Service.Warmup/2)
	}
	if left <= 0 {
		s.coldUntil = time.Time{}
		return
	}
	s.coldUntil = now.Add(left)
	p.queueFact(fact.Fact{Topic: topic.ColdStart, Subject: s.target.Name, Value: s.incarnation, Until: s.coldUntil})
}
