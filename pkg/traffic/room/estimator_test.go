package room_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/room"
)

var start = time.Unix(1000, 0)

const (
	slots   = 3
	runTime = 160 * time.Millisecond
)

// Failure: 96 entries see the same free place at an upstream that never answers a call beyond its queue, and all send.
var _ = Describe("Free", func() {
	for _, tc := range []struct {
		name string
		// inFlight is the number of calls that this entry has admitted.
		inFlight int
		// misses is the number of calls that found no room.
		misses      int
		own, others int
		age         time.Duration
		want        bool
	}{
		{name: "has room by a new report of an idle upstream", inFlight: 1, want: true},
		{name: "has no room by a new report of a full queue", inFlight: 1, others: 6},
		{name: "has room by a new report of an idle upstream while the load is high", inFlight: 10, want: true},
		{name: "has no room by an old report of an idle upstream while the load is high", inFlight: 10, age: 100 * time.Millisecond},
		{name: "has no room for more calls of this entry than places", inFlight: 1, own: 6},
		{name: "has room next to a call of its own", inFlight: 1, own: 1, others: 1, want: true},
		{name: "has less room after calls found none", inFlight: 1, misses: 10, own: 1, others: 2, age: 20 * time.Millisecond},
		{name: "has room for this entry's part without a report", inFlight: 1, age: -1, want: true},
		{name: "has no room beyond this entry's part without a report", inFlight: 1, own: 1, age: -1},
		{name: "takes a report of long ago as none", inFlight: 1, others: 9, age: 2 * time.Second, want: true},
	} {
		It(tc.name, func() {
			e := &room.Estimator{}
			e.SetFleet(96, 24, 96, true)
			e.RecordReport(1)
			e.SetInFlight(tc.inFlight)
			for range tc.misses {
				e.RecordMiss(start, true)
			}
			free := e.Free(start, tc.own, tc.others, tc.age, 2*runTime, runTime, slots)
			Expect(free >= 1).To(Equal(tc.want), "free %v", free)
		})
	}
})

// Guards against a change for fleets whose upstreams lose no calls, and for those that lost a single one.
var _ = Describe("Guards", func() {
	for _, tc := range []struct {
		name   string
		shared bool
		lost   int
		want   bool
	}{
		{"is set where many entries share upstreams", true, 0, true},
		{"is not set elsewhere", false, 0, false},
		{"is not set after one lost call", false, 1, false},
		{"is set once calls are lost", false, tune.RoomGuardLosses, true},
	} {
		It(tc.name, func() {
			e := &room.Estimator{}
			e.SetFleet(17, 17, 17, tc.shared)
			for range tc.lost {
				e.RecordMiss(start, true)
			}
			Expect(e.Guards()).To(Equal(tc.want))
		})
	}
})

var _ = Describe("Margin", func() {
	It("rises with each miss up to a bound, and falls to half of the rise within the half-life", func() {
		e := &room.Estimator{}
		e.RecordMiss(start, false)
		Expect(e.Margin(start)).To(Equal(1 + tune.RoomMarginStep))
		Expect(e.Margin(start.Add(tune.RoomMarginHalfLife))).To(BeNumerically("~", 1+tune.RoomMarginStep/2, 1e-9))
		for range 100 {
			e.RecordMiss(start, false)
		}
		Expect(e.Margin(start)).To(BeNumerically("~", tune.RoomMaxMargin, 1e-9))
		Expect(e.Lost()).To(BeZero())
	})
})
