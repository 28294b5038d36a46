package pool_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/stmt"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// Guards against calls to an upstream that has said in an answer that it is leaving, while the store still lists it as ready or
// cannot be reached.
var _ = Describe("An upstream that says that it is leaving", func() {
	leaving := &stmt.Statement{Leaving: true}
	for _, tc := range []struct {
		name string
		say  func(p *pool.Pool)
		// incarnation is that of a later announcement, 1 for the same.
		incarnation uint64
		gone        bool
	}{
		{"in an answer", func(p *pool.Pool) { answerNext(p, start, leaving) }, 1, true},
		{"in a failure", func(p *pool.Pool) {
			ch := p.Pick(start, newCall(), nil, nil)
			p.RecordResult(start, &ch, &result.Result{Status: 500, Cause: cause.Error, Statement: leaving})
		}, 1, true},
		{"in the answer to a probe", func(p *pool.Pool) {
			p.RecordProbe(start, "up-0", &result.Result{Status: 503, Cause: cause.Error, Statement: leaving})
		}, 1, true},
		{"to another entry", func(p *pool.Pool) {
			p.Merge(start, fact.Fact{Topic: topic.Draining, Subject: "up-0", Value: 1, Until: start.Add(time.Hour)})
		}, 1, true},
		{"and starts again", func(p *pool.Pool) { answerNext(p, start, leaving) }, 2, false},
	} {
		It("gets no calls from then on: "+tc.name, func() {
			cfg := newConfig(1)
			cfg.Targets[0].Upstream.Incarnation = 1
			p := newPool(cfg)
			var told []fact.Fact
			p.OnFact = func(f fact.Fact) { told = append(told, f) }
			tc.say(p)
			again := newConfig(1)
			again.Targets[0].Upstream.Incarnation = tc.incarnation
			later := start.Add(10 * time.Minute)
			p.Install(later, again)
			c := newCall()
			c.Arrived, c.Deadline = later, later.Add(time.Second)
			Expect(p.Pick(later, c, nil, nil).Stage != stage.Send).To(Equal(tc.gone))
			Expect(len(told)).To(BeNumerically("<=", 1), "peers are told once")
		})
	}
})
