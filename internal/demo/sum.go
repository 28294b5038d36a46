package demo

import (
	"github.com/balsamvale/balsamvale/internal/outcom"
	"github.com/balsamvale/balsamvale/internal/quant"
)

// result sums up the run.
func (l *load) result() *outcom.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &outcom.Outcome{
		Calls: l.counts.calls, Answered: l.counts.answered, NotRun: l.counts.notRun, Failed: l.counts.failed,
		Idempotent: l.counts.idempotent, Unserved: l.counts.unserved,
		Mixed: l.counts.mixed, Cut: l.counts.cut, Direct: quant.Of(l.direct), Via: quant.Of(l.via),
		Fault: l.demo.Fault, Broken: []string{},
	}
	r.Added = r.Via.P99 - r.Direct.P99
	runs := map[string]int{}
	for _, b := range l.demo.upstreams {
		for name, n := range b.Runs() {
			if b.service == "payout" {
				runs[name] += n
			} else if n > 0 && l.notRun[name] {
				r.False++
			}
		}
	}
	for name, n := range runs {
		r.Repeated += n - 1
		if l.notRun[name] {
			r.False++
		}
	}
	r.Check(r.Repeated == 0, "a call that must not repeat ran more than once")
	r.Check(r.False == 0, "a refusal said \"not run\" of a call that ran")
	r.Check(r.Mixed == 0, "a caller got the answer to another call")
	r.Check(r.Calls > 0 && r.Answered > 0, "no call was answered")
	return r
}
