package contrl

import (
	"fmt"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/records/movrec"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/order"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/reply"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
	"github.com/balsamvale/balsamvale/pkg/stored/verb"
)

// movers holds the order under way for each move that this entry drives.
type movers map[string]mover

type mover struct {
	order uint64
	// again is when the next write may be tried after one that failed.
	again time.Time
	// due is when the next step was first seen to be due.
	due time.Time
}

// steps are the shares of the new version in thousandths, evenly spaced over the move's time.
var steps = [...]int{20, 40, 80, 150, 250, 400, 600, 800, 1000}

// reply takes in the outcome of a write; what it did is learned from the catalog.
func (m movers) reply(now time.Time, r reply.Reply) {
	for name, mv := range m {
		if mv.order == r.ID {
			mv.order = 0
			if r.Failed || !r.Done {
				mv.again = now.Add(tune.BackoffMost / 2)
			}
			m[name] = mv
		}
	}
}

// reverted reports whether an entry has told that a move was taken back.
func (c *Control) reverted(move string) bool {
	_, ok := c.rumor.Get(c.now, topic.Reverted, move)
	return ok
}

// moves drives the moves: any entry may write the next step, and the store takes the first.
func (c *Control) moves() {
	for name, m := range c.config.Moves {
		if c.config.Current(m.Service) != m || !c.introduced {
			continue
		}
		mv := c.movers[name]
		if mv.order != 0 || c.now.Before(mv.again) {
			continue
		}
		next, ok := c.advance(m)
		if !ok {
			delete(c.movers, name)
			continue
		}
		if mv.due.IsZero() {
			mv.due = c.now
			c.movers[name] = mv
		}
		if c.now.Sub(mv.due) >= c.turn(m.Service) {
			c.movers[name] = mover{order: c.writeProgress(next), due: mv.due}
		}
	}
}

// turn is how long this entry leaves a step of a service's move to those before it.
func (c *Control) turn(service string) time.Duration {
	rank := shard.Of(service).Rank(c.config.Live(), c.me.Name)
	return time.Duration(max(0, rank)) * tune.MoveTurn
}

// advance returns the next progress of a move when it is due.
func (c *Control) advance(m *movrec.Move) (progrs.Progress, bool) {
	now := progrs.Progress{Move: m.Name}
	if known := c.config.Progress[m.Name]; known != nil {
		now = *known
	}
	if now.Phase == phase.Done || now.Phase == phase.Reverted || c.now.Before(m.Start) {
		return now, false
	}
	next := progrs.Progress{Move: m.Name, Driver: c.me.Name, Since: c.now, Start: m.Start, Phase: phase.Moving}
	if f, ok := c.rumor.Get(c.now, topic.Reverted, m.Name); ok {
		next.Phase, next.Reason = phase.Reverted, f.Detail
		return next, true
	}
	next.Share = planned(m, c.now)
	if known := c.config.Progress[m.Name]; known != nil {
		if c.now.Sub(known.Since) < stepTime(m)/catchUp {
			return next, false
		}
		next.Share = min(next.Share, following(now.Share))
	}
	next.Reason = fmt.Sprintf("planned back from %s", m.Deadline.Format(time.RFC3339))
	if now.Share >= steps[len(steps)-1] {
		next.Share, next.Phase, next.Reason = now.Share, phase.Done, "all traffic has moved"
		return next, !c.now.Before(soaked(m))
	}
	return next, next.Share > now.Share
}

// planned returns the share that is due at a time, so that the last step is done before the deadline.
func planned(m *movrec.Move, now time.Time) int {
	whole := float64(m.Deadline.Sub(m.Start)) * tune.MoveEnd
	i := int(float64(len(steps)) * float64(now.Sub(m.Start)) / whole)
	return steps[min(max(i, 0), len(steps)-1)]
}

// catchUp is how many times faster than planned a move goes that is behind its plan.
const catchUp = 3

// stepTime is the planned time of one step.
func stepTime(m *movrec.Move) time.Duration {
	return time.Duration(float64(m.Deadline.Sub(m.Start)) * tune.MoveEnd / float64(len(steps)))
}

// following returns the step after a share.
func following(share int) int {
	for _, s := range steps {
		if s > share {
			return s
		}
	}
	return share
}

// soaked is the time at which a move that was not taken back is done.
func soaked(m *movrec.Move) time.Time {
	whole := float64(m.Deadline.Sub(m.Start))
	return m.Start.Add(time.Duration(whole * (1 + tune.MoveEnd) / 2))
}

// writeProgress issues the swap of a move's progress, which fails for a driver that was replaced.
func (c *Control) writeProgress(p progrs.Progress) uint64 {
	it, _ := c.catalog.Get(keys.Move(p.Move))
	o := order.Order{ID: c.id(), Verb: verb.Swap, Key: keys.Move(p.Move), Expect: it.Revision, Value: value.Value{Progress: &p}}
	c.call(o)
	return o.ID
}
