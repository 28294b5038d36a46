package config

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// resumption is what a rollout takes over when operators have written its order again, or a restored store holds the order at another
// revision. Where the name of a rollout holds the revision of its order, it has another name then.
type resumption struct {
	// names are those that the rollout had before, the last one first.
	names []string
	// start is when it started, and progress how far it has come; nil if it has not.
	start    time.Time
	progress *progrs.Progress
}

// sameOrder reports whether two values are the same order of a rollout, under names that may differ.
func sameOrder(a, b value.Value) bool {
	if a.Record == nil || b.Record == nil || a.Record.Rollout == nil || b.Record.Rollout == nil {
		return false
	}
	x, y := *a.Record.Rollout, *b.Record.Rollout
	x.Name, y.Name = "", ""
	return x == y
}

// resumptionOf returns what the rollout of an order takes over from the one in force, or nil if the order is a new one.
//
// An order is written again if the one in force is of an earlier era, or is part of the copy from which the store was restored less than
// tune.RestoreMemory ago: operators may also write again what was not lost. The next one with the same content is a new order.
func (c *Config) resumptionOf(now time.Time, it item.Item, old, next value.Value) *resumption {
	if !sameOrder(old, next) || old.Record.Rollout.Name == next.Record.Rollout.Name {
		return nil
	}
	held := c.items[it.Key].Revision
	fromCopy := held.Era() == it.Revision.Era() && held <= c.restored.revision && now.Before(c.restored.end) && !c.rewritten[it.Key]
	if held.Era() >= it.Revision.Era() && !fromCopy {
		return nil
	}
	name := old.Record.Rollout.Name
	again := &resumption{names: append([]string{name}, c.predecessors[name]...), progress: c.Progress[name]}
	if r := c.Rollouts[name]; r != nil {
		again.start = r.Start
	}
	return again
}

// noteOrder records what an order of a rollout replaces, before it comes into force.
func (c *Config) noteOrder(it item.Item, old, next value.Value, again *resumption) {
	switch held := c.items[it.Key]; {
	case !isOrder(old):
	case again != nil && held.Revision.Era() == it.Revision.Era():
		c.rewritten[it.Key] = true
	case again == nil && isOrder(next) && !sameOrder(old, next):
		c.replaced[it.Key] = held
	}
}

// resume gives a rollout the start and the progress of the same one under another name. The entries write the progress again.
func (c *Config) resume(again *resumption, r *rolrec.Rollout) {
	c.predecessors[r.Name] = again.names
	if p, known := again.progress, c.Progress[r.Name]; p != nil && (known == nil || compareOrder(value.Value{Progress: known}, value.Value{Progress: p}) < 0) {
		carried := *p
		carried.Rollout = r.Name
		c.Progress[r.Name] = &carried
		c.carried[keys.Rollout(r.Name)] = &carried
	}
	if started := c.Rollouts[r.Name]; started != nil && started.Duration > 0 && again.start.Before(started.Start) && !again.start.IsZero() {
		started.Start, started.Deadline = again.start, again.start.Add(started.Duration)
	}
	c.restoreStart(r.Name)
}

// Predecessors returns the names that a rollout had before its order was written again, the last one first.
func (c *Config) Predecessors(rollout string) []string { return c.predecessors[rollout] }
