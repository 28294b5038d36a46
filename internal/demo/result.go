package demo

import (
	"github.com/balsamvale/balsamvale/internal/quant"
	"github.com/balsamvale/balsamvale/internal/stats"
)

// result returns the summary of the run. It compares what the callers saw with the runs that the upstreams counted, and
// records each guarantee that did not hold.
func (l *loadGen) result() *stats.Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &stats.Summary{
		Calls: l.counts.calls, Answered: l.counts.answered, NotRun: l.counts.notRun, Failed: l.counts.failed,
		Idempotent: l.counts.idempotent, Unanswered: l.counts.unanswered,
		Mismatched: l.counts.mismatched, Truncated: l.counts.truncated, DirectLatency: quant.Summarize(l.directLatency), EntryLatency: quant.Summarize(l.entryLatency),
		Fault: l.demo.Fault, Violations: []string{},
	}
	r.AddedP99 = r.EntryLatency.P99 - r.DirectLatency.P99
	runs := map[string]int{}
	for _, u := range l.demo.upstreams {
		for name, n := range u.Runs() {
			if u.service == "payout" {
				runs[name] += n
			} else if n > 0 && l.notRun[name] {
				r.FalseNotRun++
			}
		}
	}
	for name, n := range runs {
		r.DuplicateRuns += n - 1
		if l.notRun[name] {
			r.FalseNotRun++
		}
	}
	r.Check(r.DuplicateRuns == 0, "a call that must run at most once ran more than once")
	r.Check(r.FalseNotRun == 0, "a call that was refused as \"not run\" had run")
	r.Check(r.Mismatched == 0, "a caller got the answer to another call")
	r.Check(r.Calls > 0 && r.Answered > 0, "no call was answered")
	return r
}
