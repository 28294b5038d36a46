package contrl_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/snap"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/batch"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// lateResponse is the longest delay of a late response of the store.
const lateResponse = 700 * time.Millisecond

// setKey is the key of the operators' configuration, whose value is its version.
var setKey = keys.Record("set", "")

// decodeRestored decodes a configuration, or an upstream, whose value is the start of its process and the number of its announcement.
func decodeRestored(it item.Item) (value.Value, bool) {
	if it.Key == setKey {
		b := &batch.Batch{Records: []*record.Record{{Service: &svcrec.Service{Name: "s", Slots: 1, Conns: 1, ColdRate: 1, ProbesPerCall: 1}}}}
		_, err := fmt.Sscan(string(it.Value), &b.Version)
		return value.Value{Batch: b}, err == nil
	}
	name, ok := strings.CutPrefix(it.Key, keys.Record("upstream", ""))
	u := &upsrec.Upstream{Name: name, Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80")}
	if ok {
		_, err := fmt.Sscan(string(it.Value), &u.Incarnation, &u.Sequence)
		ok = err == nil
	}
	return value.Value{Record: &record.Record{Upstream: u}}, ok
}

// inEra returns the response that the store's client makes of one that the store decided in an era.
func (e *fleetEntry) inEra(req kvreq.Request, r kvresp.Response, era int64) kvresp.Response {
	if era < e.era {
		return kvresp.Response{OutcomeUnknown: req.Op != kvop.Watch, Compacted: req.Op == kvop.Watch, Revision: req.SinceRevision, Applied: true}
	}
	e.era = era
	if req.Op == kvop.Watch && !r.OutcomeUnknown && era != req.SinceRevision.Era() {
		return kvresp.Response{Compacted: true, Revision: req.SinceRevision, Applied: true}
	}
	return r
}

// fleetCopy is a copy of the simulated store.
type fleetCopy struct {
	revision revno.Revision
	items    map[string]item.Item
}

func (f *fleet) copyStore() fleetCopy { return fleetCopy{f.revision, maps.Clone(f.items)} }

// restoreStore replaces the store by a copy, in a new era. Without its members, the keys under leases are gone too.
func (f *fleet) restoreStore(c fleetCopy, members bool) {
	era := f.revision.Era() + 1
	f.revision, f.items, f.history = revno.New(era, c.revision.Number()), map[string]item.Item{}, nil
	for key, it := range c.items {
		it.Revision = revno.New(era, it.Revision.Number())
		if members || !strings.HasPrefix(key, keys.MemberPrefix) {
			f.items[key] = it
		}
	}
	for _, w := range f.watches {
		w.answer(kvresp.Response{OutcomeUnknown: true})
	}
	f.watches = nil
}

// remove removes a key and answers the watches.
func (f *fleet) remove(key string) {
	f.revision++
	it := item.Item{Key: key, Revision: f.revision, Tombstone: true}
	delete(f.items, key)
	f.history = append(f.history, it)
	for _, w := range f.watches {
		w.answer(kvresp.Response{Applied: true, Revision: f.revision, Items: []item.Item{it}})
	}
	f.watches = nil
}

// world is a fleet with operators and upstreams, which write again what the store has lost.
type world struct {
	*fleet
	rnd *rand.Rand
	// version is the newest configuration, and sequence that of each upstream that runs.
	version  int64
	sequence map[string]int
	// gone holds the upstreams that left.
	gone map[string]bool
	// seen is the highest version that each entry had in force, and left what it had seen leave.
	seen map[*fleetEntry]int64
	left map[*fleetEntry]map[string]bool
	had  map[*fleetEntry]map[string]bool
	// broken are the steps back.
	broken []string
}

func newWorld(entries int, seed uint64) *world {
	w := &world{fleet: newFleet(entries, seed), rnd: rand.New(rand.NewPCG(seed, 7)), sequence: map[string]int{}, gone: map[string]bool{}}
	w.seen, w.left, w.had = map[*fleetEntry]int64{}, map[*fleetEntry]map[string]bool{}, map[*fleetEntry]map[string]bool{}
	w.published = w.check
	w.configure()
	for i := range 6 {
		w.announce(fmt.Sprint("u", i))
	}
	w.run(3 * time.Second)
	return w
}

func (w *world) configure() {
	w.version++
	w.writeValue(setKey, fmt.Append(nil, w.version))
}

func (w *world) announce(name string) {
	w.sequence[name]++
	w.writeValue(keys.Record("upstream", name), fmt.Append(nil, 1, w.sequence[name]))
}

func (w *world) leave(name string) {
	w.gone[name] = true
	w.remove(keys.Record("upstream", name))
}

// rewrite writes again, within the given times, what the store lost: the configuration, the announcements, and the removals.
func (w *world) rewrite(upstreams, operators time.Duration) {
	era := w.revision.Era()
	version := w.version
	w.after(time.Duration(w.rnd.Int64N(int64(operators))), func() {
		if w.revision.Era() == era && version == w.version {
			w.writeValue(setKey, fmt.Append(nil, w.version))
		}
	})
	for _, name := range slices.Sorted(maps.Keys(w.sequence)) {
		w.after(time.Duration(w.rnd.Int64N(int64(upstreams))), func() {
			_, stored := w.items[keys.Record("upstream", name)]
			switch {
			case w.revision.Era() != era:
			case !w.gone[name]:
				w.announce(name)
			case stored:
				w.remove(keys.Record("upstream", name))
			}
		})
	}
}

// check notes what steps back at an entry with a snapshot.
func (w *world) check(e *fleetEntry, s *snap.Snapshot) {
	if s.Version < w.seen[e] {
		w.broken = append(w.broken, fmt.Sprintf("%v %s: version %d after %d", w.now.Sub(time.Unix(1000, 0)), e.name, s.Version, w.seen[e]))
	}
	w.seen[e] = max(w.seen[e], s.Version)
	cfg := s.Services["s"]
	if cfg == nil {
		return
	}
	if w.left[e] == nil {
		w.left[e], w.had[e] = map[string]bool{}, map[string]bool{}
	}
	now := map[string]bool{}
	for _, t := range cfg.Targets {
		now[t.Name] = true
		if w.left[e][t.Name] {
			w.broken = append(w.broken, fmt.Sprintf("%v %s: %s is back", w.now.Sub(time.Unix(1000, 0)), e.name, t.Name))
		}
	}
	for name := range w.had[e] {
		if !now[name] && !w.gone[name] {
			w.broken = append(w.broken, fmt.Sprintf("%v %s: %s was dropped while it ran", w.now.Sub(time.Unix(1000, 0)), e.name, name))
		}
		w.left[e][name] = w.left[e][name] || !now[name]
	}
	w.had[e] = now
}

// forget forgets what an entry that was started anew has had in force.
func (w *world) forget(e *fleetEntry) {
	delete(w.seen, e)
	delete(w.left, e)
	delete(w.had, e)
}

// differences returns the entries that do not have the state of the store in force.
func (w *world) differences() []string {
	var out []string
	want := 0
	for name := range w.sequence {
		if !w.gone[name] {
			want++
		}
	}
	for _, e := range w.entries {
		if w.seen[e] != w.version || len(w.had[e]) != want {
			out = append(out, fmt.Sprintf("%s: version %d of %d, upstreams %v of %d", e.name, w.seen[e], w.version, slices.Sorted(maps.Keys(w.had[e])), want))
		}
	}
	return out
}

// After the store had come back from an older copy, a new route was refused at all entries 2.1 s after its configuration, and calls
// went to upstreams that had left.
var _ = Describe("A store that comes back from an older copy", func() {
	const upstreams, operators = 2 * time.Second, 3 * time.Second
	for _, tc := range []struct {
		name    string
		entries int
		// lost is done between the copy and the restoration, and after it.
		lost  func(w *world)
		after func(w *world, copied fleetCopy)
	}{
		{"with an older configuration", 4, func(w *world) { w.configure() }, nil},
		{"with upstreams that have left", 4, func(w *world) { w.leave("u1"); w.leave("u2") }, nil},
		{"without upstreams that have come", 4, func(w *world) { w.announce("new") }, nil},
		{"in a fleet whose entries get most from peers", 30, func(w *world) { w.configure(); w.leave("u1"); w.announce("new") }, nil},
		{"and is restored again", 4, func(w *world) { w.configure(); w.leave("u1"); w.announce("new") }, func(w *world, copied fleetCopy) {
			w.run(300 * time.Millisecond)
			w.restoreStore(copied, false)
		}},
		{"and reaches only some entries", 12, func(w *world) { w.configure(); w.leave("u1") }, func(w *world, _ fleetCopy) {
			for _, e := range w.entries[:6] {
				e.cut = true
			}
		}},
		{"while an entry starts that knows the copy alone", 4, func(w *world) { w.configure(); w.leave("u1") }, func(w *world, _ fleetCopy) {
			w.run(200 * time.Millisecond)
			w.restart(w.entries[0])
			w.seen[w.entries[0]], w.left[w.entries[0]], w.had[w.entries[0]] = w.version, map[string]bool{"u1": true}, nil
		}},
	} {
		It("makes nothing step back and is in force in the end: "+tc.name, func() {
			for seed := range uint64(4) {
				w := newWorld(tc.entries, seed)
				copied := w.copyStore()
				tc.lost(w)
				w.run(3 * time.Second)
				Expect(w.differences()).To(BeEmpty())
				w.restoreStore(copied, seed%2 == 0)
				if tc.after != nil {
					tc.after(w, copied)
				}
				w.rewrite(upstreams, operators)
				w.run(2 * tune.RestoreGrace)
				Expect(w.broken).To(BeEmpty(), fmt.Sprint("seed ", seed))
				Expect(w.differences()).To(BeEmpty(), fmt.Sprint("seed ", seed))
			}
		})
	}

	// The store may become unavailable again before anybody has written what it lost.
	It("makes nothing step back while it is out of touch", func() {
		for seed := range uint64(4) {
			w := newWorld(6, seed)
			copied := w.copyStore()
			w.configure()
			w.leave("u1")
			w.announce("new")
			w.run(3 * time.Second)
			w.restoreStore(copied, seed%2 == 0)
			w.run(300 * time.Millisecond)
			for _, e := range w.entries {
				e.cut = true
			}
			w.run(3 * tune.RestoreGrace)
			for _, e := range w.entries {
				e.cut = false
			}
			w.rewrite(upstreams/2, operators)
			w.run(2 * tune.RestoreGrace)
			Expect(w.broken).To(BeEmpty(), fmt.Sprint("seed ", seed))
			Expect(w.differences()).To(BeEmpty(), fmt.Sprint("seed ", seed))
		}
	})

	It("does not delay what is written anew", func() {
		const bound = 2500 * time.Millisecond
		for seed := range uint64(4) {
			w := newWorld(12, seed)
			copied := w.copyStore()
			w.configure()
			w.run(3 * time.Second)
			w.restoreStore(copied, true)
			w.run(time.Duration(seed) * 300 * time.Millisecond)
			w.configure()
			w.announce("new")
			w.leave("u3")
			w.run(bound)
			Expect(w.differences()).To(BeEmpty(), fmt.Sprint("seed ", seed))
		}
	})

	It("is in force once nobody writes again what it lost", func() {
		w := newWorld(4, 1)
		copied := w.copyStore()
		w.configure()
		w.leave("u1")
		w.run(3 * time.Second)
		w.published = nil
		var last *snap.Snapshot
		w.published = func(e *fleetEntry, s *snap.Snapshot) {
			if e == w.entries[0] {
				last = s
			}
		}
		w.restoreStore(copied, true)
		w.run(tune.RestoreMemory - 2*time.Second)
		Expect(last.Version).To(Equal(int64(2)))
		Expect(last.Services["s"].Targets).To(HaveLen(5))
		w.run(4 * time.Second)
		Expect(last.Version).To(Equal(int64(1)))
		Expect(last.Services["s"].Targets).To(HaveLen(6))
	})

	// Guards against a configuration that steps back, and upstreams that are in use again after they had left, because operators take longer
	// than tune.RestoreGrace to write again. Entries that start meanwhile know the copy alone.
	It("makes nothing step back while operators take their time", func() {
		const late = 20 * time.Second
		for seed := range uint64(4) {
			w := newWorld(4+int(seed), seed)
			copied := w.copyStore()
			w.configure()
			w.leave("u1")
			w.run(3 * time.Second)
			w.restoreStore(copied, seed%2 == 0)
			for name := range w.sequence {
				if !w.gone[name] {
					w.announce(name)
				}
			}
			w.run(late / 2)
			started := w.entries[seed]
			w.restart(started)
			w.seen[started], w.left[started], w.had[started] = w.version, map[string]bool{"u1": true}, nil
			w.run(late / 2)
			Expect(w.differences()).To(BeEmpty(), fmt.Sprint("seed ", seed))
			w.rewrite(time.Second, time.Second)
			w.run(2 * tune.RestoreGrace)
			Expect(w.broken).To(BeEmpty(), fmt.Sprint("seed ", seed))
			Expect(w.differences()).To(BeEmpty(), fmt.Sprint("seed ", seed))
		}
	})

	// In a fleet of two builds, the older one says and reads plain numbers.
	It("gives peers of older builds the changes after their number, and takes none of theirs", func() {
		f := newRestartFixture()
		items := itemsWith("a", "b")
		for i := range items {
			items[i].Revision = revno.New(2, items[i].Revision.Number())
		}
		f.step(event.Event{Kind: evkind.StoreResponse, Response: kvresp.Response{ID: f.listID, Applied: true, Revision: revno.New(2, 9), Items: items}})
		d := digest.Digest{From: "older", Revision: 12, NoEras: true, Delta: delta.Delta{Items: itemsWith("a"), Revision: 12, Full: true}}
		answer := func() (got digest.Digest) {
			for _, e := range f.control.Step(f.now, event.Event{Kind: evkind.DigestReceived, Digest: d}) {
				if e.Action == action.AnswerDigest {
					got = e.Digest
				}
			}
			return got
		}
		Expect(answer().Delta.Items).To(BeEmpty())
		f.now = f.now.Add(tune.PeerTimeout)
		f.step(event.Event{Kind: evkind.Tick})
		Expect(f.targets).To(Equal([]string{"a", "b"}))
		d.Revision = 1
		got := answer().Delta
		Expect(got.Full).To(BeFalse())
		Expect(got.Items).To(HaveLen(2))
	})

	// Draws restorations, restarts of entries, late responses and writes.
	It("holds over drawn histories", func() {
		for seed := range uint64(12) {
			w := newWorld(3+int(seed%4)*3, seed)
			w.lateShare = 0.1
			started := map[*fleetEntry]time.Time{}
			for range 3 {
				copied := w.copyStore()
				for range 4 {
					w.run(time.Duration(w.rnd.Int64N(int64(time.Second))))
					switch w.rnd.IntN(4) {
					case 0:
						w.configure()
					case 1:
						w.announce(fmt.Sprint("n", w.rnd.IntN(1000), "-", w.now.UnixNano()))
					case 2:
						if name := fmt.Sprint("u", w.rnd.IntN(6)); !w.gone[name] {
							w.leave(name)
						}
					}
				}
				w.run(2500 * time.Millisecond)
				w.restoreStore(copied, w.rnd.IntN(2) == 0)
				w.rewrite(upstreams, operators)
				w.run(time.Duration(w.rnd.Int64N(int64(2 * time.Second))))
				if e := w.entries[w.rnd.IntN(len(w.entries))]; w.rnd.IntN(2) == 0 {
					w.restart(e)
					w.forget(e)
					started[e] = w.now
				}
				w.run(2 * tune.RestoreGrace)
				Expect(w.broken).To(BeEmpty(), fmt.Sprint("seed ", seed))
				Expect(w.differences()).To(BeEmpty(), fmt.Sprint("seed ", seed))
			}
		}
	})
})
