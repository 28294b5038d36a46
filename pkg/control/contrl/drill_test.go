package contrl_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/shared/snap"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// orderKey is the key of the order of a rollout of service "s", whose value is the version.
var orderKey = keys.Record("move", "s")

// rolloutTime is the time for the whole of each rollout of the simulated fleet.
const rolloutTime = 3 * time.Second

// orderName returns the name of the rollout of an order.
func orderName(it item.Item) string {
	return fmt.Sprint("s/", it.Revision.Number(), "/", string(it.Value))
}

// encodeProgress returns the value of the progress of a rollout in the simulated store.
func encodeProgress(p *progrs.Progress) []byte {
	return fmt.Append(nil, p.Permille, int(p.Phase), p.SteppedAt.UnixNano(), p.Start.UnixNano())
}

// decodeStoredRollout decodes an order, or the progress of a rollout.
func decodeStoredRollout(it item.Item) (value.Value, bool) {
	if it.Key == orderKey {
		r := &rolrec.Rollout{Name: orderName(it), Service: "s", To: string(it.Value), Duration: rolloutTime}
		return value.Value{Record: &record.Record{Rollout: r}}, true
	}
	name, ok := strings.CutPrefix(it.Key, keys.RolloutPrefix)
	if !ok {
		return value.Value{}, false
	}
	p := &progrs.Progress{Rollout: name}
	var ended int
	var stepped, begun int64
	_, err := fmt.Sscan(string(it.Value), &p.Permille, &ended, &stepped, &begun)
	p.Phase, p.SteppedAt, p.Start = phase.Phase(ended), time.Unix(0, stepped), time.Unix(0, begun)
	return value.Value{Progress: p}, err == nil
}

// drill is a world whose operators also order rollouts, each to a version of its own, and write the last one again.
type drill struct {
	*world
	// versions is the number of versions ordered.
	versions int
	// ended has the rollouts that have ended, as the store held them, by version.
	ended map[string]rolloutEnd
	// started is when entries were started anew, by name.
	started map[string]time.Time
}

// rolloutEnd is the share with which a rollout has ended, and when.
type rolloutEnd struct {
	permille int
	at       time.Time
}

func newDrill(entries int, seed uint64) *drill {
	d := &drill{world: newWorld(entries, seed), ended: map[string]rolloutEnd{}, started: map[string]time.Time{}}
	d.published = d.check
	return d
}

// version returns the version that was ordered last.
func (d *drill) version() string { return fmt.Sprint("v", d.versions) }

// order orders the rollout of a further version.
func (d *drill) order() {
	d.versions++
	d.writeValue(orderKey, []byte(d.version()))
}

// fail makes an entry report that the current rollout has to be rolled back.
func (d *drill) fail() {
	e := d.entries[d.rnd.IntN(len(d.entries))]
	d.step(e, event.Event{Kind: evkind.FactReported, Fact: fact.Fact{Topic: topic.RolledBack, Subject: orderName(d.items[orderKey]), Until: d.now.Add(tune.RollbackTTL)}})
}

// note records which rollouts have ended.
func (d *drill) note() {
	for key, it := range d.items {
		if v, ok := decodeStoredRollout(it); ok && v.Progress != nil && (v.Progress.Phase == phase.Done || v.Progress.Phase == phase.RolledBack) {
			version := key[strings.LastIndex(key, "/")+1:]
			if _, known := d.ended[version]; !known {
				d.ended[version] = rolloutEnd{v.Progress.Permille, d.now}
			}
		}
	}
}

// settle lets the fleet run for a time, and notes which rollouts end.
func (d *drill) settle(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.run(min(100*time.Millisecond, end.Sub(d.now)))
		d.note()
	}
}

const (
	// startGrace is how long an entry that was started anew may have a rollout in force as the copy has it.
	startGrace = 3 * time.Second
	// endGrace is how long entries may not know that a rollout has ended.
	endGrace = 500 * time.Millisecond
)

// check notes a rollout that goes on after it has ended, besides what the world notes.
func (d *drill) check(e *fleetEntry, s *snap.Snapshot) {
	d.world.check(e, s)
	cfg := s.Services["s"]
	if cfg == nil || len(cfg.Shares) < 2 || d.now.Sub(d.started[e.name]) < startGrace {
		return
	}
	version, permille := cfg.Shares[1].Version, cfg.Shares[1].Permille
	if end, ended := d.ended[version]; ended && permille != end.permille && d.now.Sub(end.at) > endGrace {
		d.broken = append(d.broken, fmt.Sprintf("%v %s: %s has %d after its end with %d", d.now.Sub(time.Unix(1000, 0)), e.name, version, permille, end.permille))
	}
}

// Guards against rollouts that are carried out again, and against what steps back, over drawn restorations: what is lost, when and in
// which order it is written again, and which entries start meanwhile.
var _ = Describe("A store that comes back from older copies, with rollouts", func() {
	It("carries out no rollout again", func() {
		for seed := range uint64(24) {
			d := newDrill(3+int(seed%3), seed)
			upTo := func(t time.Duration) time.Duration { return time.Duration(d.rnd.Int64N(int64(t))) }
			d.order()
			d.settle(rolloutTime + time.Second)
			for range 3 {
				copied := d.copyStore()
				d.settle(upTo(2 * time.Second))
				if d.rnd.IntN(3) > 0 {
					d.order()
					d.settle(upTo(rolloutTime + 2*time.Second))
				}
				if d.rnd.IntN(3) == 0 {
					d.fail()
					d.settle(upTo(time.Second))
				}
				if d.rnd.IntN(2) == 0 {
					d.configure()
				}
				d.settle(2500 * time.Millisecond)
				d.restoreStore(copied, d.rnd.IntN(2) == 0)
				again := []time.Duration{0, upTo(3 * time.Second), 4*time.Second + upTo(10*time.Second)}[d.rnd.IntN(3)]
				if again == 0 {
					d.writeValue(setKey, fmt.Append(nil, d.world.version))
					d.writeValue(orderKey, []byte(d.version()))
				}
				d.rewrite(2*time.Second, 3*time.Second)
				if d.rnd.IntN(3) == 0 {
					d.settle(upTo(2 * time.Second))
					e := d.entries[d.rnd.IntN(len(d.entries))]
					d.restart(e)
					d.forget(e)
					d.started[e.name] = d.now
				}
				d.settle(again)
				if again > 0 {
					d.writeValue(orderKey, []byte(d.version()))
				}
				d.settle(rolloutTime + 4*time.Second)
				Expect(d.broken).To(BeEmpty(), fmt.Sprint("seed ", seed))
				for _, e := range d.entries {
					Expect(e.control.Status().Rollouts).To(ContainElement(HaveField("Phase", Or(Equal(phase.Done), Equal(phase.RolledBack)))), fmt.Sprint("seed ", seed, " ", e.name))
				}
				d.settle(tune.RestoreMemory)
				Expect(d.broken).To(BeEmpty(), fmt.Sprint("seed ", seed))
			}
		}
	})
})
