package hold_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/duties/hold"
	"github.com/balsamvale/balsamvale/pkg/duties/seat"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hold")
}

const (
	ttl  = 3 * time.Second
	duty = "d"
	step = 20 * time.Millisecond
)

// fleet is a store and the entries that hold a duty in turn, without a network.
type fleet struct {
	now      time.Time
	rand     *rand.Rand
	revision revno.Revision
	values   map[string]value.Value
	revs     map[string]revno.Revision
	// history holds each value by the revision of its write.
	history map[revno.Revision]value.Value
	leases  map[int64]time.Time
	// leased is the lease of the holder's key.
	leased  int64
	entries []*entry
	acts    []act
	// loss is the share of the responses that are lost, and late the share of the requests whose response is lost and that are
	// carried out up to 4 s later.
	loss, late float64
	down       bool
	// forever is set if no lease ends.
	forever bool
	delayed []delayed
}

// entry is one entry; pausedUntil is when it runs again.
type entry struct {
	name        string
	hold        *hold.Hold
	id          uint64
	steps       int
	pausedUntil time.Time
	// sending is a request that is sent once the entry runs, and answer a response that it has not read.
	sending *kvreq.Request
	answer  *kvresp.Response
	writes  int
}

// act is a call that a holder makes.
type act struct {
	name  string
	token int64
	at    time.Time
}

// delayed is a request that is carried out at a later time.
type delayed struct {
	at  time.Time
	req kvreq.Request
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), values: map[string]value.Value{}, revs: map[string]revno.Revision{}, history: map[revno.Revision]value.Value{}, leases: map[int64]time.Time{}}
	for i := range n {
		f.start(string(rune('a'+i)), uint64(i+1))
	}
	return f
}

// start adds an entry, in place of one with the same name.
func (f *fleet) start(name string, incarnation uint64) {
	self := member.Member{Name: name, Peer: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: incarnation}
	e := &entry{name: name, hold: hold.New(self, duty, ttl, f.rand)}
	e.hold.Decode = func(it item.Item) (value.Value, error) { return f.history[it.Revision], nil }
	for i, old := range f.entries {
		if old.name == name {
			f.entries[i] = e
			return
		}
	}
	f.entries = append(f.entries, e)
}

// call carries out a request.
func (f *fleet) call(req kvreq.Request) kvresp.Response {
	if f.leased != 0 && !f.forever && f.now.After(f.leases[f.leased]) {
		f.leased = 0
		delete(f.values, keys.Holder(duty))
		delete(f.revs, keys.Holder(duty))
	}
	switch req.Op {
	case kvop.Get:
		return kvresp.Response{Applied: true, Items: []item.Item{{Key: req.Key, Revision: f.revisionOf(req.Key)}}}
	case kvop.Lease:
		id := req.LeaseID
		if id != 0 && req.LeaseEra != f.revision.Era() {
			return kvresp.Response{}
		}
		if id == 0 {
			id = int64(len(f.leases) + 1)
		} else if !f.forever && f.now.After(f.leases[id]) {
			return kvresp.Response{}
		}
		f.leases[id] = f.now.Add(req.TTL)
		return kvresp.Response{Applied: true, LeaseID: id, LeaseEra: f.revision.Era()}
	}
	if f.revisionOf(req.Key) != req.ExpectedRevision || req.LeaseID != 0 && req.LeaseEra != f.revision.Era() || req.LeaseID != 0 && f.now.After(f.leases[req.LeaseID]) {
		return kvresp.Response{}
	}
	f.revision++
	if req.Delete {
		delete(f.values, req.Key)
		delete(f.revs, req.Key)
		f.leased = 0
		return kvresp.Response{Applied: true, Revision: f.revision}
	}
	f.values[req.Key], f.revs[req.Key], f.history[f.revision] = req.Value, f.revision, req.Value
	if req.LeaseID != 0 {
		f.leased = req.LeaseID
	}
	return kvresp.Response{Applied: true, Revision: f.revision}
}

// revisionOf returns the revision of a key; its number is 0 if the key does not exist.
func (f *fleet) revisionOf(key string) revno.Revision {
	if rev, ok := f.revs[key]; ok {
		return rev
	}
	return f.revision.Absent()
}

// restore begins a new era of the store with a copy of the keys at a revision, without leases.
func (f *fleet) restore(values map[string]value.Value, revs map[string]revno.Revision, at revno.Revision) {
	era := f.revision.Era() + 1
	f.revision, f.values, f.revs = revno.New(era, at.Number()), maps.Clone(values), map[string]revno.Revision{}
	for key, rev := range revs {
		f.revs[key] = revno.New(era, rev.Number())
		f.history[f.revs[key]] = values[key]
	}
	delete(f.values, keys.Holder(duty))
	delete(f.revs, keys.Holder(duty))
	f.leased = 0
}

// send carries out the request of an entry and keeps the response for it.
func (f *fleet) send(e *entry) {
	req := *e.sending
	e.sending = nil
	resp := kvresp.Response{OutcomeUnknown: true}
	switch {
	case f.down:
	case f.rand.Float64() < f.late:
		f.delayed = append(f.delayed, delayed{f.now.Add(time.Duration(f.rand.Int64N(int64(4 * time.Second)))), req})
	default:
		resp = f.call(req)
		if f.rand.Float64() < f.loss {
			resp = kvresp.Response{OutcomeUnknown: true}
		}
	}
	resp.ID = req.ID
	e.answer = &resp
}

// run runs all entries for a time; pauseAt pauses the first entry at one of its steps.
func (f *fleet) run(d time.Duration, pauseAt int, pause time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, l := range f.delayed {
			if !f.now.Before(l.at) {
				f.call(l.req)
			}
		}
		left := f.delayed[:0]
		for _, l := range f.delayed {
			if f.now.Before(l.at) {
				left = append(left, l)
			}
		}
		f.delayed = left
		for i, e := range f.entries {
			if f.now.Before(e.pausedUntil) {
				continue
			}
			if i == 0 && e.steps == pauseAt && pause > 0 {
				e.steps++
				e.pausedUntil = f.now.Add(pause)
				continue
			}
			f.advance(e, time.Duration(i)*time.Second)
		}
	}
}

// advance makes an entry do one thing: send a request, read a response, or decide what is next and act.
func (f *fleet) advance(e *entry, patience time.Duration) {
	switch {
	case e.sending != nil:
		e.steps++
		f.send(e)
	case e.answer != nil:
		e.steps++
		resp := *e.answer
		e.answer = nil
		if e.hold.Awaits(resp.ID) {
			e.hold.HandleResponse(f.now, resp)
		}
	default:
		if token, until, ok := e.hold.Token(f.now); ok && f.now.Before(until) {
			f.acts = append(f.acts, act{e.name, token, f.now})
			if e.hold.Propose([]byte(fmt.Sprint(e.name, len(f.acts)))) {
				e.writes++
			}
		}
		e.hold.Look(f.now.Add(patience))
		e.id++
		if req, ok := e.hold.Next(f.now, e.id); ok {
			e.sending = &req
		}
	}
}

// check checks the promises about the order of holders and their tokens.
func (f *fleet) check(name string) {
	holders := map[int64]string{}
	var highest int64
	left := map[string]time.Time{}
	for i, a := range f.acts {
		if by, ok := holders[a.token]; ok {
			Expect(by).To(Equal(a.name), name+": two holders have one token")
		}
		holders[a.token] = a.name
		Expect(a.token).To(BeNumerically(">=", highest), name+": a holder acts after a later one")
		highest = a.token
		if i > 0 && f.acts[i-1].name != a.name {
			left[f.acts[i-1].name] = f.acts[i-1].at
			if at, ok := left[a.name]; ok {
				Expect(a.at.Sub(at)).To(BeNumerically(">=", ttl), name+": a holder acts again within a lease, after another one")
			}
		}
	}
}

// Guards against a holder that acts beside, or after, a later one: because it was paused at any step, because a request was carried out
// late or its response was lost, or because it was cut off from the store.
var _ = Describe("A duty that entries hold in turn", func() {
	for _, tc := range []struct {
		name       string
		pause      time.Duration
		loss, late float64
	}{
		{"a short pause", time.Second, 0, 0},
		{"a pause of nearly a lease", 2900 * time.Millisecond, 0, 0},
		{"a pause of more than a lease", 3500 * time.Millisecond, 0, 0},
		{"a long pause", 12 * time.Second, 0, 0},
		{"a long pause and lost responses", 6 * time.Second, 0.2, 0},
		{"a long pause and requests that are carried out late", 6 * time.Second, 0.1, 0.1},
	} {
		It("has one holder at a time, with rising tokens: "+tc.name, func() {
			for at := range 24 {
				for seed := range uint64(3) {
					f := newFleet(3, seed)
					f.loss, f.late = tc.loss, tc.late
					f.run(30*time.Second, at, tc.pause)
					f.check(fmt.Sprintf("step %d, seed %d", at, seed))
					Expect(f.now.Sub(f.acts[len(f.acts)-1].at)).To(BeNumerically("<", 8*time.Second), "somebody holds the duty at the end")
				}
			}
		})
	}

	It("passes at a planned stop at once, and not back within a lease", func() {
		f := newFleet(2, 1)
		f.run(2*time.Second, -1, 0)
		Expect(f.acts[len(f.acts)-1].name).To(Equal("a"))
		stopped := f.now
		f.entries[0].hold.Yield(f.now, true)
		f.run(1500*time.Millisecond, -1, 0)
		Expect(f.entries[1].hold.Seat()).To(Equal(seat.Holding))
		Expect(f.acts[len(f.acts)-1].name).To(Equal("b"))
		Expect(f.entries[0].hold.Seat()).NotTo(Equal(seat.Holding))
		f.start("a", 9)
		f.entries[1].hold.Yield(f.now, true)
		f.run(6*time.Second, -1, 0)
		last := f.acts[len(f.acts)-1]
		Expect(last.name).To(Equal("a"))
		Expect(stopped).To(BeTemporally("<", last.at))
		f.check("restart")
	})

	It("has no holder while the store is down, and one after that, which knows what was written", func() {
		f := newFleet(2, 1)
		f.run(2*time.Second, -1, 0)
		f.down = true
		before := f.now
		f.run(10*time.Second, -1, 0)
		Expect(f.acts[len(f.acts)-1].at.Sub(before)).To(BeNumerically("<", ttl))
		f.down = false
		f.run(8*time.Second, -1, 0)
		f.check("outage")
		Expect(f.now.Sub(f.acts[len(f.acts)-1].at)).To(BeNumerically("<", time.Second))
		Expect(f.values[keys.Tenure(duty)].Tenure.Work).NotTo(BeEmpty())
	})

	It("is taken again by its holder after a pause, also while the store still has its lease", func() {
		for at := range 12 {
			f := newFleet(1, 1)
			f.forever = true
			f.run(16*time.Second, at, 10*time.Second)
			f.check(fmt.Sprint("step ", at))
			Expect(f.acts).NotTo(BeEmpty())
			Expect(f.now.Sub(f.acts[len(f.acts)-1].at)).To(BeNumerically("<", time.Second))
		}
	})

	// Guards against a token that is given out again with the revisions of the lost seconds.
	It("has rising tokens when the store is restored from older copies", func() {
		for seed := range uint64(20) {
			f := newFleet(3, seed)
			f.run(time.Second, -1, 0)
			for range 3 {
				values, revs, at := maps.Clone(f.values), maps.Clone(f.revs), f.revision
				f.run(3*time.Second, -1, 0)
				before := len(f.acts)
				f.restore(values, revs, at)
				f.run(9*time.Second, -1, 0)
				highest := f.acts[before-1].token
				Expect(f.acts[len(f.acts)-1].token).To(BeNumerically(">", highest))
				Expect(f.now.Sub(f.acts[len(f.acts)-1].at)).To(BeNumerically("<", time.Second))
			}
			holders := map[int64]string{}
			for _, a := range f.acts {
				Expect(holders).To(Or(Not(HaveKey(a.token)), HaveKeyWithValue(a.token, a.name)), "two holders have one token")
				holders[a.token] = a.name
			}
		}
	})

	It("is given up after a refusal, and taken with a higher token", func() {
		f := newFleet(1, 1)
		f.run(2*time.Second, -1, 0)
		refused := f.acts[len(f.acts)-1].token
		f.entries[0].hold.Yield(f.now, false)
		n := len(f.acts)
		f.run(8*time.Second, -1, 0)
		Expect(len(f.acts)).To(BeNumerically(">", n))
		for _, a := range f.acts[n:] {
			Expect(a.token).To(BeNumerically(">", refused))
		}
	})
})
