package contrl

import (
	"fmt"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// rolloutStates holds the order under way for each move that this entry drives.
type rolloutStates map[string]rolloutState

type rolloutState struct {
	requestID uint64
	// retryAt is when the next write may be tried after one that failed.
	retryAt time.Time
	// dueSince is when the next step was first seen to be due.
	dueSince time.Time
}

// steps are the shares of the new version in thousandths, evenly spaced over the move's time.
var steps = [...]int{20, 40, 80, 150, 250, 400, 600, 800, 1000}

// handleResponse takes in the outcome of a write; what it did is learned from the catalog.
func (m rolloutStates) handleResponse(now time.Time, r kvresp.Response) {
	for name, mv := range m {
		if mv.requestID == r.ID {
			mv.requestID = 0
			if r.OutcomeUnknown || !r.Applied {
				mv.retryAt = now.Add(tune.MaxBackoff / 2)
			}
			m[name] = mv
		}
	}
}

// rolledBack reports whether an entry has told that a move was taken back.
func (c *Control) rolledBack(move string) bool {
	_, ok := c.facts.Get(c.now, topic.RolledBack, move)
	return ok
}

// driveRollouts drives the moves: any entry may write the next step, and the store takes the first.
func (c *Control) driveRollouts() {
	for name, m := range c.config.Rollouts {
		if c.config.CurrentRollout(m.Service) != m || !c.bootstrapped {
			continue
		}
		mv := c.rollouts[name]
		if mv.requestID != 0 || c.now.Before(mv.retryAt) {
			continue
		}
		next, ok := c.nextProgress(m)
		if !ok {
			delete(c.rollouts, name)
			continue
		}
		if mv.dueSince.IsZero() {
			mv.dueSince = c.now
			c.rollouts[name] = mv
		}
		if c.now.Sub(mv.dueSince) >= c.turnDelay(m.Service) {
			c.rollouts[name] = rolloutState{requestID: c.writeProgress(next), dueSince: mv.dueSince}
		}
	}
}

// turnDelay is how long this entry leaves a step of a service's move to those before it.
func (c *Control) turnDelay(service string) time.Duration {
	rank := shard.Of(service).Rank(c.config.ActiveMembers(), c.self.Name)
	return time.Duration(max(0, rank)) * tune.RolloutTurnDelay
}

// nextProgress returns the next progress of a move when it is due.
func (c *Control) nextProgress(m *rolrec.Rollout) (progrs.Progress, bool) {
	now := progrs.Progress{Rollout: m.Name}
	if known := c.config.Progress[m.Name]; known != nil {
		now = *known
	}
	if now.Phase == phase.Done || now.Phase == phase.RolledBack || c.now.Before(m.Start) {
		return now, false
	}
	next := progrs.Progress{Rollout: m.Name, Writer: c.self.Name, SteppedAt: c.now, Start: m.Start, Phase: phase.Shifting}
	if f, ok := c.facts.Get(c.now, topic.RolledBack, m.Name); ok {
		next.Phase, next.Reason = phase.RolledBack, f.Detail
		return next, true
	}
	next.Permille = plannedPermille(m, c.now)
	if known := c.config.Progress[m.Name]; known != nil {
		if c.now.Sub(known.SteppedAt) < stepTime(m)/catchUp {
			return next, false
		}
		next.Permille = min(next.Permille, nextStep(now.Permille))
	}
	next.Reason = fmt.Sprintf("planned back from %s", m.Deadline.Format(time.RFC3339))
	if now.Permille >= steps[len(steps)-1] {
		next.Permille, next.Phase, next.Reason = now.Permille, phase.Done, "all traffic has moved"
		return next, !c.now.Before(soakEnd(m))
	}
	return next, next.Permille > now.Permille
}

// plannedPermille returns the share that is due at a time, so that the last step is done before the deadline.
func plannedPermille(m *rolrec.Rollout, now time.Time) int {
	whole := float64(m.Deadline.Sub(m.Start)) * tune.RolloutShiftPart
	i := int(float64(len(steps)) * float64(now.Sub(m.Start)) / whole)
	return steps[min(max(i, 0), len(steps)-1)]
}

// catchUp is how many times faster than planned a move goes that is behind its plan.
const catchUp = 3

// stepTime is the planned time of one step.
func stepTime(m *rolrec.Rollout) time.Duration {
	return time.Duration(float64(m.Deadline.Sub(m.Start)) * tune.RolloutShiftPart / float64(len(steps)))
}

// nextStep returns the step after a share.
func nextStep(share int) int {
	for _, s := range steps {
		if s > share {
			return s
		}
	}
	return share
}

// soakEnd is the time at which a move that was not taken back is done.
func soakEnd(m *rolrec.Rollout) time.Time {
	whole := float64(m.Deadline.Sub(m.Start))
	return m.Start.Add(time.Duration(whole * (1 + tune.RolloutShiftPart) / 2))
}

// writeProgress issues the swap of a move's progress, which fails for a driver that was replaced.
func (c *Control) writeProgress(p progrs.Progress) uint64 {
	it, _ := c.replica.Get(keys.Rollout(p.Rollout))
	o := kvreq.Request{ID: c.id(), Op: kvop.CompareAndSwap, Key: keys.Rollout(p.Rollout), ExpectedRevision: it.Revision, Value: value.Value{Progress: &p}}
	c.callStore(o)
	return o.ID
}
