package contrl

import (
	"fmt"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
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

// rolloutStates holds the state of the rollouts whose next step is due, by rollout name.
type rolloutStates map[string]rolloutState

// rolloutState is the state of writing the next step of a rollout.
type rolloutState struct {
	// requestID is the ID of the write that awaits its response, or 0 when there is none.
	requestID uint64
	// retryAt is when the step may be written again after a failed write.
	retryAt time.Time
	// dueSince is when the step was first seen to be due.
	dueSince time.Time
}

// steps are the shares of the new version, in thousandths, at evenly spaced times of a rollout.
var steps = [...]int{20, 40, 80, 150, 250, 400, 600, 800, 1000}

// handleResponse processes the response to a write. The progress that was written is learned from the replica.
func (s rolloutStates) handleResponse(now time.Time, resp kvresp.Response) {
	for name, state := range s {
		if state.requestID == resp.ID {
			state.requestID = 0
			if resp.OutcomeUnknown || !resp.Applied {
				state.retryAt = now.Add(tune.MaxBackoff / 2)
			}
			s[name] = state
		}
	}
}

// rolledBack reports whether a live fact says that a rollout was rolled back.
func (c *Control) rolledBack(rollout string) bool {
	_, ok := c.rollbackFact(rollout)
	return ok
}

// rollbackFact returns the live fact that says that a rollout was rolled back, under the name that it has or one that it had, and whether
// there is one.
func (c *Control) rollbackFact(rollout string) (fact.Fact, bool) {
	if f, ok := c.facts.Get(c.now, topic.RolledBack, rollout); ok {
		return f, true
	}
	for _, name := range c.config.Predecessors(rollout) {
		if f, ok := c.facts.Get(c.now, topic.RolledBack, name); ok {
			return f, true
		}
	}
	return fact.Fact{}, false
}

// driveRollouts writes the steps of the rollouts that are due.
//
// Any entry may write the next step. The writes are conditional, so only the first one takes effect.
func (c *Control) driveRollouts() {
	for name, r := range c.config.Rollouts {
		if c.config.CurrentRollout(r.Service) != r || !c.bootstrapped {
			continue
		}
		state := c.rollouts[name]
		if state.requestID != 0 || c.now.Before(state.retryAt) {
			continue
		}
		next, ok := c.nextProgress(r)
		if !ok {
			delete(c.rollouts, name)
			continue
		}
		if state.dueSince.IsZero() {
			state.dueSince = c.now
			c.rollouts[name] = state
		}
		if c.now.Sub(state.dueSince) >= c.turnDelay(r.Service) {
			c.rollouts[name] = rolloutState{requestID: c.writeProgress(next), dueSince: state.dueSince}
		}
	}
}

// turnDelay returns how long this entry leaves a due step to the entries that rank before it for the service.
func (c *Control) turnDelay(service string) time.Duration {
	rank := shard.Of(service).Rank(c.config.ActiveMembers(), c.self.Name)
	return time.Duration(max(0, rank)) * tune.RolloutTurnDelay
}

// nextProgress returns the next progress of a rollout, and whether it is due.
func (c *Control) nextProgress(r *rolrec.Rollout) (progrs.Progress, bool) {
	current := progrs.Progress{Rollout: r.Name}
	if known := c.config.Progress[r.Name]; known != nil {
		current = *known
	}
	ended := current.Phase == phase.Done || current.Phase == phase.RolledBack
	rollback, rolledBack := c.rollbackFact(r.Name)
	if c.config.IsKept(keys.Rollout(r.Name)) && (ended || !rolledBack) {
		// The store was restored without this step.
		return current, true
	}
	if ended || c.now.Before(r.Start) {
		return current, false
	}
	next := progrs.Progress{Rollout: r.Name, Writer: c.self.Name, SteppedAt: c.now, Start: r.Start, Phase: phase.Shifting}
	if rolledBack {
		next.Phase, next.Reason = phase.RolledBack, rollback.Detail
		return next, true
	}
	next.Permille = plannedPermille(r, c.now)
	if known := c.config.Progress[r.Name]; known != nil {
		if c.now.Sub(known.SteppedAt) < stepTime(r)/catchUpFactor {
			return next, false
		}
		next.Permille = min(next.Permille, nextStep(current.Permille))
	}
	next.Reason = fmt.Sprintf("planned back from %s", r.Deadline.Format(time.RFC3339))
	if current.Permille >= steps[len(steps)-1] {
		next.Permille, next.Phase, next.Reason = current.Permille, phase.Done, "all traffic has moved"
		return next, !c.now.Before(soakEnd(r))
	}
	return next, next.Permille > current.Permille
}

// plannedPermille returns the planned share of the new version at a time. The last step is planned before the deadline.
func plannedPermille(r *rolrec.Rollout, now time.Time) int {
	shiftTime := float64(r.Deadline.Sub(r.Start)) * tune.RolloutShiftPart
	i := int(float64(len(steps)) * float64(now.Sub(r.Start)) / shiftTime)
	return steps[min(max(i, 0), len(steps)-1)]
}

// catchUpFactor is how many times faster than planned a rollout may step when it is behind its plan.
const catchUpFactor = 3

// stepTime returns the planned time between two steps.
func stepTime(r *rolrec.Rollout) time.Duration {
	return time.Duration(float64(r.Deadline.Sub(r.Start)) * tune.RolloutShiftPart / float64(len(steps)))
}

// nextStep returns the first step above a share in thousandths, or the share itself if there is none.
func nextStep(permille int) int {
	for _, s := range steps {
		if s > permille {
			return s
		}
	}
	return permille
}

// soakEnd returns the time at which a rollout that was not rolled back is done: halfway between the planned end of the
// shift and the deadline.
func soakEnd(r *rolrec.Rollout) time.Time {
	total := float64(r.Deadline.Sub(r.Start))
	return r.Start.Add(time.Duration(total * (1 + tune.RolloutShiftPart) / 2))
}

// writeProgress issues a conditional write of the progress of a rollout and returns the ID of the request.
//
// The write fails if another entry has written the progress in the meantime.
func (c *Control) writeProgress(p progrs.Progress) uint64 {
	it, _ := c.replica.Get(keys.Rollout(p.Rollout))
	req := kvreq.Request{ID: c.nextID(), Op: kvop.CompareAndSwap, Key: keys.Rollout(p.Rollout), ExpectedRevision: it.Revision, Value: value.Value{Progress: &p}}
	c.callStore(req)
	return req.ID
}
