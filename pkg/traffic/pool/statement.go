package pool

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
)

// recordStatement keeps what the upstream says of itself in the answer to a call sent at a time: its limit, until it answers
// a later call without one, and that it is leaving, until a new incarnation is announced.
func (s *upstreamState) recordStatement(p *Pool, now, sentAt time.Time, r *result.Result) {
	st := r.Statement
	if st == nil {
		return
	}
	if st.Leaving {
		s.leave(p, now)
	}
	s.pause(p, now, st.Pause)
	switch {
	case st.Unclear:
	case st.Limit > 0:
		s.turns.SetLimit(st.Limit)
		s.limitNamedAt = now
	case !sentAt.Before(s.limitNamedAt):
		s.turns.SetLimit(0)
	}
}

// leave keeps new work away from an upstream that says itself that it is leaving, and tells the other entries.
func (s *upstreamState) leave(p *Pool, now time.Time) {
	if s.leaving {
		return
	}
	s.leaving, s.drainUntil = true, now.Add(maxLeavingTime)
	p.queueFact(fact.Fact{Topic: topic.Draining, Subject: s.target.Name, Value: s.incarnation, Until: s.drainUntil})
}

// pause keeps calls and probes away from an upstream for the time that it asked for. All entries may have been asked for the
// same, so each adds a part of a tenth of it by its rank.
func (s *upstreamState) pause(p *Pool, now time.Time, asked time.Duration) {
	if asked <= 0 {
		return
	}
	spread := asked / pauseSpread * time.Duration(p.config.EntryRank) / time.Duration(max(1, p.config.EntryCount))
	if until := now.Add(asked + spread); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// pauseSpread is the part of a pause, as its divisor, over which the entries return.
const pauseSpread = 10

// maxLeavingTime is longer than an upstream lives after it has said that it is leaving.
const maxLeavingTime = time.Hour
