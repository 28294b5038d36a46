package demo

import (
	"github.com/balsamvale/balsamvale/internal/quant"
	"github.com/balsamvale/balsamvale/internal/stats"
)

// result sums up the run.
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
	for _, b := range l.demo.upstreams {
		for name, n := range b.Runs() {
			if b.service == "payout" {
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
	r.Check(r.DuplicateRuns == 0, "a call that must not repeat ran more than once")
	r.Check(r.FalseNotRun == 0, "a refusal said \"not run\" of a call that ran")
	r.Check(r.Mismatched == 0, "a caller got the answer to another call")
	r.Check(r.Calls > 0 && r.Answered > 0, "no call was answered")
	return r
}
