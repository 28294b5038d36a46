package pool_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/report"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
)

// Failure: upstreams with 3 slots and 6 places to wait lose each call beyond those, by silence or by a reset, and get more since
// an upstream may have 8 calls more than slots.
var _ = Describe("Calls that their upstream has no room for", func() {
	const late = 300 * time.Millisecond
	full := &report.Report{InFlight: 8}
	for _, tc := range []struct {
		name string
		// end is how two calls end, with the load that the upstream reports next, by a probe.
		end  cause.Cause
		next *report.Report
		lost int
		// sends is set if a call goes to an upstream with 8 calls afterwards.
		sends bool
	}{
		{"are known by a report that lacks them", cause.Canceled, &report.Report{}, 2, false},
		{"are known by resets of an upstream that stays full", cause.ConnBroken, full, 2, false},
		{"are not those of an upstream that is not full", cause.ConnBroken, &report.Report{InFlight: 2}, 0, true},
		{"are not those that an upstream sheds", cause.Shed, full, 0, true},
		{"are not those that may still be there", cause.Canceled, full, 0, true},
		{"are not those of an upstream that starts anew", cause.ConnBroken, &report.Report{InFlight: 8, Incarnation: 2, Uptime: time.Hour}, 0, true},
	} {
		It(tc.name, func() {
			cfg := newConfig(1)
			cfg.Service.Slots, cfg.Service.Timeout = 3, time.Minute
			p := newPool(cfg)
			p.RecordProbe(start, "up-0", &result.Result{Report: &report.Report{Incarnation: 1, Uptime: time.Minute}})
			now := start
			for range 2 {
				ch := p.Pick(now, patientCall(now), nil, nil)
				Expect(ch.Stage).To(Equal(stage.Send))
				now = now.Add(late)
				if tc.end == cause.Canceled {
					p.RecordProbe(now, "up-0", &result.Result{Report: tc.next})
				}
				p.RecordResult(now, &ch, &result.Result{Cause: tc.end})
				p.Release(now, &ch)
				p.RecordProbe(now, "up-0", &result.Result{Report: tc.next})
			}
			lost, _ := p.RoomStats(now)
			Expect(lost).To(Equal(tc.lost))
			p.RecordProbe(now, "up-0", &result.Result{Report: full})
			Expect(p.Pick(now, patientCall(now), nil, nil).Stage == stage.Send).To(Equal(tc.sends))
		})
	}
})

func patientCall(now time.Time) *call.Call {
	c := newCall()
	c.Arrived, c.Deadline = now, now.Add(time.Minute)
	return c
}

// Load pattern: 48 entries with 6 upstreams of 3 slots each see one of them idle, by the same report, and have a call each.
// Guards against all of them sending to it.
var _ = Describe("An entry that shares upstreams with many others", func() {
	for _, tc := range []struct {
		name string
		// age is that of the report.
		age   time.Duration
		calls int
		sends bool
	}{
		{"sends a call after a new report", 0, 1, true},
		{"sends no call after an old report while it has many itself", 20 * time.Millisecond, 8, false},
	} {
		It(tc.name, func() {
			cfg := newConfig(6)
			cfg.EntryCount, cfg.Service.Slots, cfg.Service.ProbesPerCall, cfg.Service.Queue = 48, 3, 3, 64
			p := newPool(cfg)
			for range tc.calls {
				p.Admit(start, newCall(), failIfWoken)
			}
			for _, name := range []string{"up-0", "up-1", "up-2", "up-3", "up-4", "up-5"} {
				p.RecordProbe(start, name, &result.Result{Report: &report.Report{InFlight: 1}})
			}
			Expect(p.Pick(start.Add(tc.age), newCall(), nil, nil).Stage == stage.Send).To(Equal(tc.sends))
		})
	}
})
