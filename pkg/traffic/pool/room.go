package pool

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// RoomStats returns the number of calls of the service that this entry lost because an upstream had no room for them, and the
// margin that it keeps free at upstreams.
func (p *Pool) RoomStats(now time.Time) (lost int, margin float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.room.Lost(), p.room.Margin(now)
}

// freePlaces estimates the free places at the upstream.
func (s *upstreamState) freePlaces(p *Pool, now time.Time) float64 {
	own := s.ownInFlight + s.placesHeld(now)
	run := time.Duration(float64(s.runTime(p, now)) * s.predictedSlowdown(p, now))
	return p.room.Free(now, own, s.reportedOthers(), s.reportAge(now), p.reportDecay(), run, s.slots(p))
}

// reportedOthers returns the number of calls of other entries by the last report.
func (s *upstreamState) reportedOthers() int { return max(0, s.reportedInFlight-s.ownAtReport) }

// placesHeld returns the number of places that calls without an answer may still take, beside those of the last report.
func (s *upstreamState) placesHeld(now time.Time) int {
	n := 0
	for _, until := range s.heldUntil {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// recordRoom learns from the end of an attempt whether the upstream had room for it.
//
// A call that ends without an answer keeps its place until it could have run, or until a report counts it. One that ends after
// that, although the upstream has reported meanwhile, counts as lost where calls are guarded; elsewhere it may have waited
// behind long ones. The connection is gone in any case: net/http closes it when an attempt ends before its answer.
func (s *upstreamState) recordRoom(p *Pool, now time.Time, ch *choice.Choice, r *result.Result) {
	switch r.Cause {
	case cause.Shed:
		if !r.WrongInstance {
			p.room.RecordMiss(now, false)
		}
	case cause.DialFailed:
		s.resetAt = time.Time{}
	case cause.ConnBroken:
		s.resetAt = now
	case cause.Timeout, cause.Canceled:
		switch stay := s.longestStay(p, now, ch); {
		case s.unheard > 0:
			s.unheard--
		case now.Sub(ch.At) <= stay:
			s.heldUntil = append(s.heldUntil, ch.At.Add(stay))
		case p.room.Guards() && s.reportAt.Sub(ch.At) > tune.RoomLossGrace:
			p.room.RecordMiss(now, true)
		}
	}
}

// longestStay returns how long a call may take at an upstream that was full when it came, by the greater of the slowdowns
// reported then and now.
func (s *upstreamState) longestStay(p *Pool, now time.Time, ch *choice.Choice) time.Duration {
	slots := float64(s.slots(p))
	turns := float64(p.room.Places(s.slots(p)))/slots + 1
	pace := max(ch.Slowdown, s.predictedSlowdown(p, now), s.slowdown) * (1 + tune.KneeSlowdown)
	return time.Duration(turns * pace * float64(s.runTime(p, now)))
}

// recordReportedRoom updates the estimate from a load report that came now, with the answer to a call or to a probe.
//
// Calls that the report should contain and does not were lost. A connection that was reset shortly before, by an upstream that
// runs on and has no free slot, was reset because it was full: one that crashes refuses connections or starts anew.
func (s *upstreamState) recordReportedRoom(p *Pool, now time.Time, withAnswer bool) {
	s.heldUntil = s.heldUntil[:0]
	p.room.RecordReport(s.reportedOthers())
	due := 0
	for _, at := range s.interactiveStarts {
		if now.Sub(at) > tune.RoomLossGrace+2*s.target.Delay {
			due++
		}
	}
	if withAnswer {
		// The answered call is no longer in the report, and may be one of them.
		due--
	}
	for ; s.unheard < due-s.reportedInFlight; s.unheard++ {
		p.room.RecordMiss(now, true)
	}
	if !s.resetAt.IsZero() && now.Sub(s.resetAt) < tune.RoomReportAge && s.reportedInFlight >= s.slots(p) {
		p.room.RecordMiss(now, true)
	}
	s.resetAt = time.Time{}
}
