package contrl_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/contrl"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/control/spread"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/records/domrec"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/shared/snap"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// oneWay is the time that a message takes between two entries, or between an entry and the store.
const oneWay = 2 * time.Millisecond

// fleet simulates the control of several entries, their exchange and the store, with virtual time.
type fleet struct {
	now     time.Time
	rand    *rand.Rand
	entries []*fleetEntry
	timers  fleetTimers
	// lastTimer is the number of the last timer.
	lastTimer int

	revision revno.Revision
	items    map[string]item.Item
	history  []item.Item
	watches  []*fleetWatch
	// watchCalls counts the watch requests that have reached the store.
	watchCalls int
	// published is called for each snapshot that an entry puts in force; it may be nil.
	published func(e *fleetEntry, s *snap.Snapshot)
	// lateShare is the share of the store's responses that take up to lateResponse longer.
	lateShare float64
	// storeCalls counts all requests that have reached the store.
	storeCalls int
	// exchanges counts the digests that entries have sent to each other, and remoteExchanges those between failure domains.
	exchanges, remoteExchanges int
	// factCopies counts the facts in the digests that entries have sent to each other, answers included.
	factCopies int
	// dropAnswer reports whether an answer to a digest is lost; nil for none.
	dropAnswer func() bool
	// restarts counts the entries that were started anew.
	restarts int
	// linkRate is what the link of an entry carries in each direction, in bytes of item values a second; 0 for no limit.
	linkRate float64
	// peerDelay is how long a message between entries takes besides.
	peerDelay time.Duration
	// transfers are the messages with item values between entries.
	transfers []fleetTransfer
}

// fleetTransfer is a message with item values from one entry to another.
type fleetTransfer struct {
	at       time.Time
	from, to *fleetEntry
	bytes    int
}

// fleetEntry is one entry of a fleet.
type fleetEntry struct {
	name    string
	control *contrl.Control
	// cut is set while nothing passes between the entry and the store.
	cut bool
	// dead is set once the entry has crashed. It stays among the members.
	dead bool
	// silent is the time of the last moment at which all open connections of the entry went silent: what was sent before it
	// is not answered.
	silent time.Time
	// era is the highest era of the store's responses.
	era int64
	// revision is that of the configuration in force, since inForceAt.
	revision  revno.Revision
	inForceAt time.Time
	// facts has the time at which each fact was delivered, by subject.
	facts map[string]time.Time
	// sendingUntil and receivingUntil are when the link of the entry has carried what was sent so far.
	sendingUntil, receivingUntil time.Time
}

// fleetTimer is an action that is due at a time. Of those with the same time, the one with the lowest number is first.
type fleetTimer struct {
	at     time.Time
	number int
	do     func()
}

// fleetTimers is a heap.Interface whose first timer is due next.
type fleetTimers []fleetTimer

func (t fleetTimers) Len() int { return len(t) }

func (t fleetTimers) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].number < t[j].number
}

func (t fleetTimers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *fleetTimers) Push(x any) { *t = append(*t, x.(fleetTimer)) }

func (t *fleetTimers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// fleetWatch is a watch that the store has not answered.
type fleetWatch struct {
	req    kvreq.Request
	answer func(kvresp.Response)
}

// newFleet starts n entries and lets them run for ten seconds.
func newFleet(n int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 0)), revision: 1, items: map[string]item.Item{}}
	for i := range n {
		e := &fleetEntry{name: fmt.Sprintf("entry-%02d", i)}
		self := member.Member{Name: e.name, Domain: fleetDomain(e.name), Incarnation: uint64(i + 1)}
		e.control = contrl.New(self, rand.New(rand.NewPCG(seed, uint64(i))), decodeFleetItem)
		f.entries = append(f.entries, e)
		f.after(time.Duration(f.rand.Int64N(int64(300*time.Millisecond))), func() { f.tick(e) })
	}
	f.run(10 * time.Second)
	return f
}

// decodeFleetItem decodes the members and the records of the simulated store by their keys.
func decodeFleetItem(it item.Item) (value.Value, error) {
	if name, ok := strings.CutPrefix(it.Key, keys.MemberPrefix); ok {
		return value.Value{Member: &member.Member{Name: name, Domain: fleetDomain(name)}}, nil
	}
	if v, ok := decodeRestored(it); ok {
		return v, nil
	}
	if v, ok := decodeStoredRollout(it); ok {
		return v, nil
	}
	return value.Value{Record: &record.Record{Domain: &domrec.Domain{Name: it.Key}}}, nil
}

// restart starts an entry anew, without any state, with the first three entries as its seeds.
func (f *fleet) restart(e *fleetEntry) {
	f.restarts++
	self := member.Member{Name: e.name, Domain: fleetDomain(e.name), Incarnation: uint64(len(f.entries) + f.restarts)}
	e.control = contrl.New(self, rand.New(rand.NewPCG(0, self.Incarnation)), decodeFleetItem)
	for i := range uint16(3) {
		e.control.Seeds = append(e.control.Seeds, netip.AddrPortFrom(netip.IPv4Unspecified(), i))
	}
	e.revision, e.era, e.facts = 0, 0, nil
}

// fleetDomain returns the failure domain of an entry.
func fleetDomain(name string) string {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "entry-"))
	if err != nil {
		panic(err)
	}
	return fmt.Sprint("zone-", i%4)
}

// after schedules an action.
func (f *fleet) after(d time.Duration, do func()) {
	f.lastTimer++
	heap.Push(&f.timers, fleetTimer{f.now.Add(d), f.lastTimer, do})
}

// run lets the fleet run for a time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for {
		if f.timers[0].at.After(end) {
			f.now = end
			return
		}
		t := heap.Pop(&f.timers).(fleetTimer)
		f.now = t.at
		t.do()
	}
}

// watchers returns the entries that watch the store for the fleet.
func (f *fleet) watchers() []*fleetEntry {
	var names []string
	members := map[string]*member.Member{}
	for _, e := range f.entries {
		names = append(names, e.name)
		members[e.name] = &member.Member{Name: e.name, Domain: fleetDomain(e.name)}
	}
	watches := func(name string) bool {
		return shard.Shard(0).Rank(names, name) < tune.MinWatchers+len(names)/tune.EntriesPerWatcher
	}
	if p := spread.New(*members[names[0]], members); p != nil {
		watches = p.Watches
	}
	return slices.DeleteFunc(slices.Clone(f.entries), func(e *fleetEntry) bool { return !watches(e.name) })
}

// tick passes a tick to an entry, and schedules the next one.
func (f *fleet) tick(e *fleetEntry) {
	f.after(tune.Tick, func() { f.tick(e) })
	f.step(e, event.Event{Kind: evkind.Tick})
}

// step passes an event to an entry and carries out the effects.
func (f *fleet) step(e *fleetEntry, ev event.Event) {
	if e.dead {
		return
	}
	for _, ef := range e.control.Step(f.now, ev) {
		f.perform(e, ef)
	}
}

// perform carries out an effect of an entry.
func (f *fleet) perform(e *fleetEntry, ef effect.Effect) {
	switch ef.Action {
	case action.CallStore:
		f.callStore(e, ef.Request)
	case action.SendDigest:
		f.sendDigest(e, ef)
	case action.PublishSnapshot:
		e.revision, e.inForceAt = ef.Snapshot.Revision, f.now
		if f.published != nil {
			f.published(e, ef.Snapshot)
		}
	case action.DeliverFact:
		if e.facts == nil {
			e.facts = map[string]time.Time{}
		}
		e.facts[ef.Fact.Subject] = f.now
	}
}

// sendDigest delivers a digest to a peer, and its answer, whose age includes the time that the exchange took.
func (f *fleet) sendDigest(from *fleetEntry, ef effect.Effect) {
	i := slices.IndexFunc(f.entries, func(e *fleetEntry) bool { return e.name == ef.Peer })
	if ef.Peer == "" {
		i = int(ef.Addr.Port()) // a seed
	}
	to, sent := f.entries[i], f.now
	f.exchanges++
	if fleetDomain(from.name) != fleetDomain(to.name) {
		f.remoteExchanges++
	}
	if to.dead {
		f.after(tune.PeerTimeout, func() {
			f.step(from, event.Event{Kind: evkind.PeerUnreachable, Peer: ef.Peer, FetchID: ef.FetchID})
		})
		return
	}
	f.after(f.transfer(from, to, ef.Digest), func() {
		ef.Digest.Matched = ef.Digest.Matched.Rebase(sent, f.now)
		for _, out := range to.control.Step(f.now, event.Event{Kind: evkind.DigestReceived, Digest: ef.Digest}) {
			if out.Action != action.AnswerDigest {
				f.perform(to, out)
				continue
			}
			if f.dropAnswer != nil && f.dropAnswer() {
				f.after(tune.PeerTimeout, func() {
					f.step(from, event.Event{Kind: evkind.PeerUnreachable, Peer: ef.Peer, FetchID: ef.FetchID})
				})
				continue
			}
			answered := f.now
			f.after(f.transfer(to, from, out.Digest), func() {
				out.Digest.Matched = out.Digest.Matched.Rebase(answered, f.now).Older(f.now.Sub(sent))
				f.step(from, event.Event{Kind: evkind.DigestAnswered, Digest: out.Digest, FetchID: ef.FetchID})
			})
		}
	})
}

// transfer returns the time that a digest takes from one entry to another, and records the item values in it.
func (f *fleet) transfer(from, to *fleetEntry, d digest.Digest) time.Duration {
	n := 0
	f.factCopies += len(d.Facts)
	for _, it := range d.Delta.Items {
		n += len(it.Value)
	}
	if n == 0 {
		return oneWay + f.peerDelay
	}
	f.transfers = append(f.transfers, fleetTransfer{f.now, from, to, n})
	if f.linkRate == 0 {
		return oneWay + f.peerDelay
	}
	took := time.Duration(float64(n) / f.linkRate * float64(time.Second))
	from.sendingUntil = later(f.now, from.sendingUntil).Add(took)
	to.receivingUntil = later(from.sendingUntil, to.receivingUntil.Add(took))
	return to.receivingUntil.Sub(f.now) + oneWay + f.peerDelay
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// callStore carries out a store request of an entry; without an answer it fails after tune.StoreTimeout, a watch after its wait
// besides.
func (f *fleet) callStore(e *fleetEntry, req kvreq.Request) {
	answered, sent, control := false, f.now, e.control
	finish := func(r kvresp.Response) {
		if !answered && control == e.control {
			answered = true
			r.ID = req.ID
			f.step(e, event.Event{Kind: evkind.StoreResponse, Response: r})
		}
	}
	f.after(tune.StoreTimeout+req.Wait, func() { finish(kvresp.Response{OutcomeUnknown: true}) })
	answer := func(r kvresp.Response) {
		took, era := oneWay, f.revision.Era()
		if f.lateShare > 0 && f.rand.Float64() < f.lateShare {
			took += time.Duration(f.rand.Int64N(int64(lateResponse)))
		}
		f.after(took, func() {
			if !e.cut && !e.silent.After(sent) {
				finish(e.inEra(req, r, era))
			}
		})
	}
	if e.cut {
		return
	}
	f.after(oneWay, func() { f.serve(req, answer) })
}

// serve carries out a request in the store.
func (f *fleet) serve(req kvreq.Request, answer func(kvresp.Response)) {
	r := kvresp.Response{Applied: true, Revision: f.revision}
	f.storeCalls++
	switch req.Op {
	case kvop.Watch:
		f.watchCalls++
		f.watch(req, answer)
		return
	case kvop.List:
		for _, it := range f.items {
			r.Items = append(r.Items, it)
		}
	case kvop.Lease:
		r.LeaseID, r.LeaseEra = 1, f.revision.Era()
		r.Applied = req.LeaseID == 0 || req.LeaseEra == r.LeaseEra
	case kvop.CompareAndSwap:
		if p := req.Value.Progress; p != nil {
			held, ok := f.items[req.Key]
			if !ok {
				held.Revision = f.revision.Absent()
			}
			if r.Applied = req.ExpectedRevision == held.Revision; r.Applied {
				f.writeValue(req.Key, encodeProgress(p))
				r.Revision = f.revision
			}
			break
		}
		if r.Applied = req.ExpectedRevision.Era() == f.revision.Era() && (req.LeaseID == 0 || req.LeaseEra == f.revision.Era()); r.Applied {
			f.write(req.Key)
			r.Revision = f.revision
		}
	}
	answer(r)
}

// watch answers a watch at once if there are changes, and otherwise with the next one or after its wait.
func (f *fleet) watch(req kvreq.Request, answer func(kvresp.Response)) {
	if req.SinceRevision.Era() != f.revision.Era() {
		answer(kvresp.Response{Applied: true, Revision: req.SinceRevision, Compacted: true})
		return
	}
	if i := slices.IndexFunc(f.history, func(it item.Item) bool { return it.Revision > req.SinceRevision }); i >= 0 {
		answer(kvresp.Response{Applied: true, Revision: f.revision, Items: slices.Clone(f.history[i:])})
		return
	}
	w := &fleetWatch{req, answer}
	f.watches = append(f.watches, w)
	f.after(req.Wait, func() {
		if i := slices.Index(f.watches, w); i >= 0 {
			f.watches = slices.Delete(f.watches, i, i+1)
			answer(kvresp.Response{Applied: true, Waited: true, Revision: f.revision})
		}
	})
}

// write writes a key and answers the watches.
func (f *fleet) write(key string) { f.writeValue(key, nil) }

// writeValue writes a key with a value and answers the watches.
func (f *fleet) writeValue(key string, value []byte) {
	f.revision++
	it := item.Item{Key: key, Value: value, Revision: f.revision}
	f.items[key] = it
	f.history = append(f.history, it)
	for _, w := range f.watches {
		w.answer(kvresp.Response{Applied: true, Revision: f.revision, Items: []item.Item{it}})
	}
	f.watches = nil
}
