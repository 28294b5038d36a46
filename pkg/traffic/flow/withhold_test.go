package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/traffic/flow"
	"github.com/balsamvale/balsamvale/pkg/traffic/poison"
)

// Guards against a call that is cut off, or reported as not run, because a further attempt of it may not be sent.
var _ = Describe("An attempt that is withheld", func() {
	for _, tc := range []struct {
		name string
		// before is the result of an attempt before; hedge is set if the withheld attempt is a hedge beside another.
		before cause.Cause
		hedge  bool
		stage  stage.Stage
		out    outcom.Outcome
	}{
		{"refuses the call as not run if it is the first", cause.None, false, stage.Refuse, outcom.NotRun},
		{"refuses the call as not run after one that was shed", cause.Shed, false, stage.Refuse, outcom.NotRun},
		{"leaves it unknown after one that may have run", cause.Timeout, false, stage.Refuse, outcom.Unknown},
		{"leaves the attempt beside it alone", cause.None, true, stage.Wait, 0},
	} {
		It(tc.name, func() {
			p := newPool(3)
			f := flow.New(&call.Call{Service: "s", Idempotent: true, Buffered: true, Arrived: start, Deadline: start.Add(time.Minute)}, p, poison.New())
			s := f.Start(start)
			if tc.before != cause.None {
				s = f.AttemptResult(start, s.Attempt, result.Result{Cause: tc.before})
			}
			first := s.Attempt
			if tc.hedge {
				s = f.TimerFired(start.Add(time.Second))
			}
			Expect(s.Stage).To(Equal(stage.Send))
			got := f.Withhold(start.Add(time.Second), s.Attempt, reason.UnknownKey)
			Expect(got.Stage).To(Equal(tc.stage))
			if tc.stage == stage.Refuse {
				Expect(got.Outcome).To(Equal(tc.out))
				Expect(got.Reason).To(Equal(reason.UnknownKey))
				return
			}
			Expect(f.TimerFired(start.Add(2*time.Second)).Stage).To(Equal(stage.Wait), "no further attempt begins")
			Expect(f.AttemptResult(start.Add(2*time.Second), first, result.Result{}).Stage).To(Equal(stage.Deliver))
		})
	}
})
