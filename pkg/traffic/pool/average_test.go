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
	const run = 200 * time.Millisecond
	for _, tc := range []struct {
		upstreams int
		calls     int
	}{
		{17, 5},
		{274, 5},
		{1000, 5},
	} {
		It(fmt.Sprintf("is known after %d calls of a service of %d upstreams", tc.calls, tc.upstreams), func() {
			p := newPool(newFleet(tc.upstreams))
			now := start
			for range tc.calls {
				now = now.Add(run)
				ch := p.Pick(now, &call.Call{Deadline: now.Add(time.Minute)}, nil, nil)
				Expect(ch.Stage).To(Equal(stage.Send))
				now = now.Add(run)
				p.RecordResult(now, &ch, &result.Result{Latency: run})
				p.Release(now, &ch)
			}
			Expect(p.AvgRunTime()).To(BeNumerically("~", run, run/10))
		})
	}
})
