package contrl_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
)

// outage is a time in which the store answers nothing; a length of 0 is a single cut of the pending watch.
type outage struct{ from, length time.Duration }

// removalTime returns how long after the start an entry takes an upstream out of use that the store removes at removed, and
// whether it does so within 20 s.
func removalTime(outages []outage, removed time.Duration) (time.Duration, bool) {
	const step, horizon, watchWait = 10 * time.Millisecond, 20 * time.Second, time.Second
	f := newRestartFixture()
	start := f.now
	f.list(9, "a", "b")
	told := false
	var askedAt time.Duration
	var asked uint64
	for now := time.Duration(0); now < horizon; now += step {
		f.now = start.Add(now)
		f.step(event.Event{Kind: evkind.Tick})
		if len(f.targets) == 1 {
			return now, true
		}
		if f.watchID != asked {
			asked, askedAt = f.watchID, now
		}
		fails := false
		for _, o := range outages {
			fails = fails || now >= o.from && now <= o.from+o.length
		}
		resp := kvresp.Response{ID: f.watchID, Applied: true, Revision: 9}
		if told {
			resp.Revision = 10
		}
		switch {
		case f.watchID == 0:
			continue
		case fails:
			resp = kvresp.Response{ID: f.watchID, OutcomeUnknown: true}
		case now >= removed && !told:
			told = true
			resp.Revision, resp.Items = 10, []item.Item{{Key: keys.Record("upstream", "b"), Revision: 10, Tombstone: true}}
		case now-askedAt < watchWait:
			continue
		}
		f.watchID, asked = 0, 0
		f.step(event.Event{Kind: evkind.StoreResponse, Response: resp})
	}
	return 0, false
}

// Watches that are cut again and again kept an upstream in use that the store had removed, since each failure deferred all
// removals anew.
var _ = Describe("The removal of an upstream", func() {
	const second = time.Second
	for _, tc := range []struct {
		name    string
		outages []outage
		removed time.Duration
		// earliest and latest bound the time at which the upstream is out of use.
		earliest, latest time.Duration
	}{
		{"without a failure is in force at once", nil, 3 * second, 3 * second, 3*second + 200*time.Millisecond},
		{"after a watch was cut is in force at once", []outage{{2900 * time.Millisecond, 0}}, 3 * second, 3 * second, 4 * second},
		{"while watches are cut every 1.5 s is in force at once", []outage{{1500 * time.Millisecond, 0}, {3 * second, 0}, {4500 * time.Millisecond, 0}, {6 * second, 0}}, 3200 * time.Millisecond, 3200 * time.Millisecond, 4200 * time.Millisecond},
		{"is deferred after an outage in which its lease may have expired", []outage{{2 * second, 5 * second}}, 6 * second, 8900 * time.Millisecond, 9800 * time.Millisecond},
		{"is not deferred again by the next outage", []outage{{2 * second, 5 * second}, {8 * second, 0}}, 6 * second, 8900 * time.Millisecond, 9500 * time.Millisecond},
	} {
		It(tc.name, func() {
			at, ok := removalTime(tc.outages, tc.removed)
			Expect(ok).To(BeTrue())
			Expect(at).To(And(BeNumerically(">=", tc.earliest), BeNumerically("<=", tc.latest)))
		})
	}
})
