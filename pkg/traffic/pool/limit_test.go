package pool_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/stmt"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// Load pattern: 12 entries with a call each every 50 ms share two upstreams, and one of these names a limit in its answers.
// Guards against an upstream that gets more calls from all entries together than it takes.
var _ = Describe("An upstream that names a limit", func() {
	const (
		entries = 12
		limit   = 9.0
		window  = 4 * time.Second
	)

	It("gets no more from all entries together, while the others take the rest", func() {
		var limited []time.Time
		refused := 0
		for rank := range entries {
			cfg := newConfig(2)
			cfg.EntryCount, cfg.EntryRank = entries, rank
			p := newPool(cfg)
			for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(50 * time.Millisecond) {
				c := newCall()
				c.Arrived, c.Deadline = at, at.Add(time.Second)
				ch := p.Pick(at, c, nil, nil)
				if ch.Stage != stage.Send {
					refused++
					continue
				}
				r := &result.Result{Status: 200, Latency: time.Millisecond, Statement: &stmt.Statement{}}
				if ch.Target.Name == "up-0" {
					r.Statement.Limit = limit
					limited = append(limited, at)
				}
				p.RecordResult(at.Add(time.Millisecond), &ch, r)
				p.Release(at.Add(time.Millisecond), &ch)
			}
		}
		Expect(refused).To(BeZero())
		slices.SortFunc(limited, time.Time.Compare)
		settled := start.Add(3 * time.Second)
		for i, from := range limited {
			n := 0
			for _, at := range limited[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			if from.After(settled) {
				Expect(float64(n)).To(BeNumerically("<=", 1.5*limit*window.Seconds()+5))
			}
		}
		Expect(float64(len(limited))).To(BeNumerically(">", 0.5*limit*20), "the limit is used")
	})

	for _, tc := range []struct {
		name string
		// sentBefore is set if the call was sent before the answer that names the limit came.
		sentBefore bool
		statement  *stmt.Statement
		stays      bool
	}{
		{"until it answers a later call without one", false, &stmt.Statement{}, false},
		{"also when the answer to an earlier call comes late", true, &stmt.Statement{}, true},
		{"when it names a limit that cannot be read", false, &stmt.Statement{Unclear: true}, true},
		{"when an attempt ends without an answer of its own", false, nil, true},
	} {
		It("keeps its limit "+tc.name, func() {
			p := newPool(newConfig(1))
			pick := func(at time.Time) *result.Result { return answerNext(p, at, &stmt.Statement{Limit: 1}) }
			earlier := p.Pick(start, newCall(), nil, nil)
			Expect(pick(start).Statement).NotTo(BeNil())
			Expect(p.LimitedUpstreams()).To(Equal(1))
			if tc.sentBefore {
				p.RecordResult(start.Add(10*time.Millisecond), &earlier, &result.Result{Status: 200, Statement: tc.statement})
			} else {
				answerNext(p, start.Add(1100*time.Millisecond), tc.statement)
			}
			Expect(p.LimitedUpstreams() == 1).To(Equal(tc.stays))
		})
	}
})

// answerNext sends a call at a time and records an answer with a statement one millisecond later.
func answerNext(p *pool.Pool, at time.Time, st *stmt.Statement) *result.Result {
	c := newCall()
	c.Arrived, c.Deadline = at, at.Add(time.Second)
	ch := p.Pick(at, c, nil, nil)
	Expect(ch.Stage).To(Equal(stage.Send))
	r := &result.Result{Status: 200, Latency: time.Millisecond, Statement: st}
	p.RecordResult(at.Add(time.Millisecond), &ch, r)
	p.Release(at.Add(time.Millisecond), &ch)
	return r
}
