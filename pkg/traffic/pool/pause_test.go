package pool_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/stmt"
)

// Guards against calls and probes to an upstream that has refused one and asked for a pause, and against calls that wait until
// their deadline although it is known that no upstream takes them before.
var _ = Describe("An upstream that asks for a pause", func() {
	const pause = 3 * time.Second
	refusal := &result.Result{Status: 503, Cause: cause.Shed, Statement: &stmt.Statement{Pause: pause}}
	for _, tc := range []struct {
		name string
		// probe is set if the upstream refuses a probe, rather than a call.
		probe bool
		// rank is that of this entry among ten, and after the time since the refusal.
		rank  int
		after time.Duration
		want  stage.Stage
	}{
		{"gets no call, which is refused at once", false, 0, 500 * time.Millisecond, stage.Refuse},
		{"gets no call after it refused a probe", true, 0, 500 * time.Millisecond, stage.Refuse},
		{"gets a call that can wait for its end", false, 0, pause - 300*time.Millisecond, stage.Wait},
		{"gets calls after it", false, 0, pause, stage.Send},
		{"gets those of other entries later", false, 9, pause + 200*time.Millisecond, stage.Wait},
		{"gets calls of all entries soon after it", false, 9, pause + 300*time.Millisecond, stage.Send},
	} {
		It(tc.name, func() {
			cfg := newConfig(1)
			cfg.EntryCount, cfg.EntryRank = 10, tc.rank
			p := newPool(cfg)
			if tc.probe {
				p.RecordProbe(start, "up-0", refusal)
			} else {
				ch := p.Pick(start, newCall(), nil, nil)
				p.RecordResult(start, &ch, refusal)
				p.Release(start, &ch)
			}
			c := newCall()
			c.Arrived = start.Add(tc.after)
			c.Deadline = c.Arrived.Add(time.Second)
			Expect(p.Pick(c.Arrived, c, nil, failIfWoken).Stage).To(Equal(tc.want))
		})
	}

	It("leaves the call to another one", func() {
		p := newPool(newConfig(2))
		first := p.Pick(start, newCall(), nil, nil)
		p.RecordResult(start, &first, refusal)
		p.Release(start, &first)
		for range 5 {
			ch := p.Pick(start.Add(time.Millisecond), newCall(), nil, nil)
			Expect(ch.Stage).To(Equal(stage.Send))
			Expect(ch.Target.Name).NotTo(Equal(first.Target.Name))
			p.Release(start.Add(time.Millisecond), &ch)
		}
	})
})
