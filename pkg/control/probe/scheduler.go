package probe

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Scheduler decides when each upstream is probed.
//
// It is not safe for concurrent use.
type Scheduler struct {
	// last is the time of the last probe, by the name of the upstream.
	last map[string]time.Time
}

// New returns a scheduler that has not probed yet.
func New() *Scheduler { return &Scheduler{last: map[string]time.Time{}} }

// Due reports whether to probe an upstream now, and if so records the probe.
//
// The budget is in probes a second, and age is the age of the newest load report. An upstream is probed when its
// report is older than tune.ProbeReportAge, or, if uncertain is set, as often as the budget allows.
func (s *Scheduler) Due(now time.Time, upstream string, budget int, age time.Duration, uncertain bool) bool {
	if budget <= 0 || (!uncertain && age < tune.ProbeReportAge) {
		return false
	}
	interval := time.Second / time.Duration(budget)
	if !uncertain {
		interval = max(interval, tune.ProbeReportAge)
	}
	if last, ok := s.last[upstream]; ok && now.Sub(last) < interval {
		return false
	}
	s.last[upstream] = now
	return true
}

// Sweep discards the upstreams that were not probed for a while, so that memory does not grow with those that are replaced.
func (s *Scheduler) Sweep(now time.Time) {
	for name, last := range s.last {
		if now.Sub(last) > 2*tune.ProbeReportAge {
			delete(s.last, name)
		}
	}
}

// Len returns the number of upstreams that are kept.
func (s *Scheduler) Len() int { return len(s.last) }
