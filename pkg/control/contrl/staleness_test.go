package contrl_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// Guards against a configuration that is in force late because the entries that watch the store for the fleet are cut off from
// it, and the others take their word that nothing has changed.
var _ = Describe("A change while the watchers cannot hear of it", func() {
	const bound = 2 * time.Second
	// Reset connections excuse an entry for this time.
	const resetBound = 3 * time.Second
	for _, tc := range []struct {
		name    string
		entries int
		// cut is the number of watchers that are cut off from the store.
		cut int
		// silent is set if all open connections to the store go silent instead, without a reset.
		silent bool
	}{
		{"one of four watchers is cut off", 12, 1, false},
		{"all watchers of a small fleet are cut off", 12, tune.MinWatchers, false},
		{"all watchers of a fleet of 17 are cut off", 17, tune.MinWatchers, false},
		{"all watchers of a fleet of 30 are cut off", 30, tune.MinWatchers, false},
		{"the connections of a fleet of 17 go silent", 17, 0, true},
	} {
		It("is in force in time at the entries that reach the store: "+tc.name, func() {
			for seed := range uint64(4) {
				for _, lead := range []time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second} {
					f := newFleet(tc.entries, seed)
					for _, e := range f.watchers()[:tc.cut] {
						e.cut = true
					}
					due := f.now.Add(lead + bound)
					for _, e := range f.entries {
						if tc.silent {
							e.silent = f.now
							due = f.now.Add(max(lead+bound, resetBound))
						}
					}
					f.run(lead)
					f.write(keys.Record("domain", "changed"))
					f.run(due.Sub(f.now))
					for _, e := range f.entries {
						if !e.cut {
							Expect(e.revision).To(BeNumerically(">=", f.revision), fmt.Sprintf("seed %d, %v before the change: %s", seed, lead, e.name))
						}
					}
				}
			}
		})
	}

	// Guards against entries that never notice that they fall behind, because they were told an age that overflowed. An entry that takes
	// its state from a peer before the store or an answer of a peer has proven it does not know its age, and says so to all that ask it.
	It("is in force in time after entries have started without the store", func() {
		const entries, started, alone, settled = 12, 3, 400 * time.Millisecond, 5 * time.Second
		for seed := range uint64(10) {
			f := newFleet(entries, seed)
			for _, e := range f.entries[entries-started:] {
				e.cut = true
				f.restart(e)
				e.control.Seeds = nil
			}
			for _, e := range f.entries[:entries-started] {
				f.step(e, event.Event{Kind: evkind.FactReported, Fact: fact.Fact{Topic: topic.Draining, Subject: e.name, Value: 1, Until: f.now.Add(time.Minute)}})
			}
			f.write(keys.Record("domain", "first"))
			f.run(alone)
			for _, e := range f.entries {
				e.cut = false
			}
			f.run(settled)
			for _, e := range f.entries {
				age, known := e.control.Matched().Age(f.now)
				Expect(known).To(BeTrue(), fmt.Sprintf("seed %d: %s", seed, e.name))
				Expect(age).To(And(BeNumerically(">=", 0), BeNumerically("<", bound)), fmt.Sprintf("seed %d: %s", seed, e.name))
			}
			for _, e := range f.watchers()[:tune.MinWatchers] {
				e.cut = true
			}
			f.run(time.Second)
			f.write(keys.Record("domain", "second"))
			f.run(bound)
			for _, e := range f.entries {
				if !e.cut {
					Expect(e.revision).To(BeNumerically(">=", f.revision), fmt.Sprintf("seed %d: %s", seed, e.name))
				}
			}
		}
	})

	// Guards against a failure domain that falls behind the fleet when it is cut off from the store, since its entries exchange among
	// themselves.
	for _, entries := range []int{24, 41, 96} {
		It(fmt.Sprintf("is in force in time in a failure domain that is cut off from the store: %d entries", entries), func() {
			for seed := range uint64(4) {
				for _, lead := range []time.Duration{0, time.Second, 3 * time.Second} {
					f := newFleet(entries, seed)
					for _, e := range f.entries {
						e.cut = fleetDomain(e.name) == "zone-0"
					}
					f.run(lead)
					f.write(keys.Record("domain", "changed"))
					f.run(bound)
					for _, e := range f.entries {
						Expect(e.revision).To(BeNumerically(">=", f.revision), fmt.Sprintf("seed %d, %v before the change: %s", seed, lead, e.name))
					}
				}
			}
		})
	}

	// What the watchers confirm must reach the others before they turn to the store themselves.
	It("is looked for by the watchers alone while all is well", func() {
		const seconds, slack = 20, 1.25
		f := newFleet(17, 1)
		before := f.watchCalls
		f.run(seconds * time.Second)
		Expect(float64(f.watchCalls - before)).To(BeNumerically("<=", slack*tune.MinWatchers*seconds/tune.WatchTimeout.Seconds()))
	})

	// Guards against a fleet whose entries all turn to the store since what a watch with changes proves is as old as the watch: one call
	// for each change and one for each tune.WatchTimeout is enough for a watcher.
	It("is looked for by the watchers alone while the store changes", func() {
		const seconds, slack = 20, 1.25
		for seed := range uint64(4) {
			for _, every := range []time.Duration{400 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
				f := newFleet(17, seed)
				before, changes := f.watchCalls, 0
				next := f.now
				for end := f.now.Add(seconds * time.Second); f.now.Before(end); f.run(tune.Tick) {
					if !f.now.Before(next) {
						changes++
						f.write(keys.Record("domain", "changed"))
						next = f.now.Add(every/2 + time.Duration(f.rand.Int64N(int64(every))))
					}
				}
				most := slack * tune.MinWatchers * (seconds/tune.WatchTimeout.Seconds() + float64(changes))
				Expect(float64(f.watchCalls-before)).To(BeNumerically("<=", most), fmt.Sprintf("seed %d, every %v", seed, every))
			}
		}
	})

	// Guards against entries that end calls with 404 for what the store had before the time up to which they take their configuration
	// for current: digests that are passed on grow old on their way.
	It("is in force at each entry that takes its configuration for newer", func() {
		for seed := range uint64(4) {
			f := newFleet(17, seed)
			f.peerDelay = 150 * time.Millisecond
			type change struct {
				at       time.Time
				revision revno.Revision
			}
			var changes []change
			next := f.now
			for end := f.now.Add(20 * time.Second); f.now.Before(end); f.run(10 * time.Millisecond) {
				if !f.now.Before(next) {
					f.write(keys.Record("domain", "changed"))
					changes = append(changes, change{f.now, f.revision})
					next = f.now.Add(time.Duration(f.rand.Int64N(int64(2 * time.Second))))
				}
				for _, e := range f.entries {
					fresh := e.control.Matched().Time()
					i := len(changes) - 1
					for ; i >= 0 && !fresh.After(changes[i].at); i-- {
					}
					if i >= 0 {
						Expect(e.revision >= changes[i].revision).To(BeTrue(), fmt.Sprintf("seed %d: %s has revision %d in force and counts as fresh %v after revision %d", seed, e.name, e.revision, fresh.Sub(changes[i].at), changes[i].revision))
					}
				}
			}
		}
	})
})
