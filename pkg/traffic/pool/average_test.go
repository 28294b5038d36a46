package pool_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
)

var _ = Describe("The average run time", func() {
	const runTime = 200 * time.Millisecond
	for _, tc := range []struct {
		upstreams int
		calls     int
	}{
		{17, 5},
		{274, 5},
		{1000, 5},
	} {
		It(fmt.Sprintf("is known after %d calls to a service with %d upstreams", tc.calls, tc.upstreams), func() {
			p := newPool(newConfig(tc.upstreams))
			now := start
			for range tc.calls {
				now = now.Add(runTime)
				ch := p.Pick(now, &call.Call{Deadline: now.Add(time.Minute)}, nil, nil)
				Expect(ch.Stage).To(Equal(stage.Send))
				now = now.Add(runTime)
				p.RecordResult(now, &ch, &result.Result{Latency: runTime})
				p.Release(now, &ch)
			}
			Expect(p.AvgRunTime()).To(BeNumerically("~", runTime, runTime/10))
		})
	}
})
