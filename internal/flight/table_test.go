package flight_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/flight"
	"github.com/balsamvale/balsamvale/pkg/calls/call"
)

var _ = Describe("The table of calls in flight", func() {
	begin := time.Unix(1000, 0)

	for _, tc := range []struct {
		name string
		// arrived and opened are relative to the stop.
		arrived, opened time.Duration
		onOld, onNew    int
	}{
		{"before the stop", -time.Second, -2 * time.Second, 0, 0},
		{"after the stop on an earlier connection", time.Second, -time.Second, 1, 0},
		{"after the stop on a later connection", 2 * time.Second, time.Second, 0, 1},
	} {
		It("counts a call that arrives "+tc.name, func() {
			t := flight.New()
			t.BeginStop(begin)
			t.Add(&call.Call{Arrived: begin.Add(tc.arrived)}, begin.Add(tc.opened))
			onOld, onNew := t.SinceStop()
			Expect([]int{onOld, onNew}).To(Equal([]int{tc.onOld, tc.onNew}))
		})
	}

	It("lists the calls that have not ended, and whether they were sent", func() {
		t := flight.New()
		sent, waiting, ended := &call.Call{ID: 1}, &call.Call{ID: 2}, &call.Call{ID: 3}
		for _, c := range []*call.Call{sent, waiting, ended} {
			t.Add(c, begin)
		}
		t.MarkSent(sent)
		t.MarkSent(ended)
		t.Remove(ended)
		t.MarkSent(ended)
		got := map[uint64]bool{}
		t.Visit(func(c *call.Call, opened time.Time, sent bool) {
			Expect(opened).To(Equal(begin))
			got[c.ID] = sent
		})
		Expect(got).To(Equal(map[uint64]bool{1: true, 2: false}))
		Expect(t.Len()).To(Equal(2))
	})
})
