package contrl_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// fleetCost is what a fleet costs and how fresh its entries are, over a time.
type fleetCost struct {
	// storeCalls and watchCalls are those of all entries in a second, exchanges and remote those of one entry.
	storeCalls, watchCalls, exchanges, remote float64
	// stale and old are the shares of the time for which a configuration is older than tune.MaxPeerStaleness and tune.MaxConfigAge.
	stale, old float64
	// meanDelay and maxDelay are the times from a change in the store until it is in force at an entry.
	meanDelay, maxDelay time.Duration
}

// measureCost runs a fleet for some seconds, in which a key changes at random about as often as given; 0 for never.
func measureCost(f *fleet, seconds int, every time.Duration) fleetCost {
	var cost fleetCost
	storeCalls, watchCalls, exchanges, remote := f.storeCalls, f.watchCalls, f.exchanges, f.remoteExchanges
	samples, delays, next := 0, 0, f.now
	var total time.Duration
	changedAt, pending := f.now, map[*fleetEntry]bool{}
	for end := f.now.Add(time.Duration(seconds) * time.Second); f.now.Before(end); f.run(10 * time.Millisecond) {
		for e := range pending {
			if e.revision >= f.revision {
				delete(pending, e)
				delays++
				total += e.inForceAt.Sub(changedAt)
				cost.maxDelay = max(cost.maxDelay, e.inForceAt.Sub(changedAt))
			}
		}
		if every > 0 && len(pending) == 0 && !f.now.Before(next) {
			f.write(keys.Record("domain", "changed"))
			changedAt, next = f.now, f.now.Add(every/2+time.Duration(f.rand.Int64N(int64(every))))
			for _, e := range f.entries {
				if !e.dead {
					pending[e] = true
				}
			}
		}
		for _, e := range f.entries {
			if e.dead {
				continue
			}
			samples++
			age := f.now.Sub(e.control.Matched().Time())
			if age > tune.MaxPeerStaleness {
				cost.stale++
			}
			if age > tune.MaxConfigAge {
				cost.old++
			}
		}
	}
	n := float64(len(f.entries) * seconds)
	cost.storeCalls, cost.watchCalls = float64(f.storeCalls-storeCalls)/float64(seconds), float64(f.watchCalls-watchCalls)/float64(seconds)
	cost.exchanges, cost.remote = float64(f.exchanges-exchanges)/n, float64(f.remoteExchanges-remote)/n
	cost.stale, cost.old = cost.stale/float64(samples), cost.old/float64(samples)
	cost.meanDelay = total / time.Duration(max(1, delays))
	return cost
}

// String returns the figures in the units of docs/design/gossip.md.
func (c fleetCost) String() string {
	return fmt.Sprintf("store calls %.1f/s (watches %.1f), exchanges %.2f/s (remote %.2f), stale %.1f%%, old %.1f%%, in force after %v (at most %v)",
		c.storeCalls, c.watchCalls, c.exchanges, c.remote, 100*c.stale, 100*c.old, c.meanDelay.Round(time.Millisecond), c.maxDelay)
}

// Load pattern: fleets in four failure domains, quiet and with changes. Guards against exchanges that grow with the fleet, and against
// entries that hear of fresh watches so rarely that they all turn to the store.
var _ = Describe("The exchange of a fleet", func() {
	for _, tc := range []struct {
		entries int
		every   time.Duration
		// watchCalls are those of all entries in a second, exchanges and remote those that one entry begins.
		watchCalls, exchanges, remote float64
	}{
		{41, 0, 6, 4, 0.8},
		{41, 400 * time.Millisecond, 13, 12, 0.8},
		{41, 1500 * time.Millisecond, 10, 7, 0.9},
		{96, 0, 6, 4, 0.5},
		{96, 400 * time.Millisecond, 12, 12, 0.5},
		{96, 1500 * time.Millisecond, 15, 7, 0.6},
		{300, 0, 6, 4, 0.4},
		{300, 400 * time.Millisecond, 12, 12, 0.4},
		{300, 1500 * time.Millisecond, 22, 7, 0.5},
	} {
		It(fmt.Sprintf("costs little: %d entries, changes every %v", tc.entries, tc.every), func() {
			const maxStale, maxDelay = 0.01, 1500 * time.Millisecond
			f := newFleet(tc.entries, 2)
			c := measureCost(f, 20, tc.every)
			_, _ = fmt.Fprintf(GinkgoWriter, "%d entries, changes every %v: %v\n", tc.entries, tc.every, c)
			Expect(c.watchCalls).To(BeNumerically("<", tc.watchCalls))
			Expect(c.exchanges).To(BeNumerically("<", tc.exchanges))
			Expect(c.remote).To(BeNumerically("<", tc.remote))
			Expect(c.stale).To(BeNumerically("<", maxStale))
			Expect(c.maxDelay).To(BeNumerically("<", maxDelay))
		})
	}

	// A dead entry stays among the members until its lease expires, after 30 s.
	for _, tc := range []struct {
		name    string
		entries int
		// fail is what happens to failing watchers.
		fail    func(e *fleetEntry)
		failing int
		// watchCalls are those of all entries in a second.
		watchCalls float64
	}{
		{"the watcher of a domain has crashed", 41, func(e *fleetEntry) { e.dead = true }, 1, 10},
		{"all watchers have crashed", 41, func(e *fleetEntry) { e.dead = true }, 4, 14},
		{"the watcher of a domain has crashed", 96, func(e *fleetEntry) { e.dead = true }, 1, 12},
		{"all watchers have crashed", 96, func(e *fleetEntry) { e.dead = true }, 4, 18},
		{"the watcher of a domain is cut off from the store", 41, func(e *fleetEntry) { e.cut = true }, 1, 9},
		{"all watchers are cut off from the store", 41, func(e *fleetEntry) { e.cut = true }, 4, 18},
		{"all watchers are cut off from the store", 96, func(e *fleetEntry) { e.cut = true }, 4, 34},
	} {
		It(fmt.Sprintf("costs little and leaves entries fresh while %s: %d entries", tc.name, tc.entries), func() {
			const maxOld, maxDelay = 0.02, 2 * time.Second
			f := newFleet(tc.entries, 2)
			for _, e := range f.watchers()[:tc.failing] {
				tc.fail(e)
			}
			c := measureCost(f, 20, 1500*time.Millisecond)
			_, _ = fmt.Fprintf(GinkgoWriter, "%d entries, %s: %v\n", tc.entries, tc.name, c)
			Expect(c.watchCalls).To(BeNumerically("<", tc.watchCalls))
			Expect(c.old).To(BeNumerically("<", maxOld))
			Expect(c.maxDelay).To(BeNumerically("<", maxDelay))
		})
	}
})
