package probe

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Scheduler decides when an upstream is probed; control owns it.
type Scheduler struct {
	last map[string]time.Time
}

// New returns a planner that has not probed yet.
func New() *Scheduler { return &Scheduler{last: map[string]time.Time{}} }

// Due reports whether to probe now, and if so counts the probe.
//
// The budget is in probes a second; age is that of the newest report, and doubt is set when
// the upstream needs proof of its state.
func (p *Scheduler) Due(now time.Time, upstream string, budget int, age time.Duration, doubt bool) bool {
	if budget <= 0 || (!doubt && age < tune.ProbeReportAge) {
		return false
	}
	gap := time.Second / time.Duration(budget)
	if !doubt {
		gap = max(gap, tune.ProbeReportAge)
	}
	if last, ok := p.last[upstream]; ok && now.Sub(last) < gap {
		return false
	}
	p.last[upstream] = now
	return true
}

// Forget drops an upstream that is no longer this entry's to probe.
func (p *Scheduler) Forget(upstream string) { delete(p.last, upstream) }
