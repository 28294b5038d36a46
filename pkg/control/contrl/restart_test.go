package contrl_test

import (
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/contrl"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// restartFixture is an entry that has just started, with the effects of its control.
type restartFixture struct {
	control *contrl.Control
	now     time.Time
	// listID is the ID of the pending list request; 0 without one.
	listID uint64
	// watchID is the ID of the pending watch request; 0 without one.
	watchID uint64
	// targets are the upstreams in force, in order; nil before any configuration is.
	targets []string
}

func newRestartFixture() *restartFixture {
	decode := func(it item.Item) (value.Value, error) {
		if name, ok := strings.CutPrefix(it.Key, keys.Record("service", "")); ok {
			return value.Value{Record: &record.Record{Service: &svcrec.Service{Name: name, Slots: 1, Conns: 1}}}, nil
		}
		if name, ok := strings.CutPrefix(it.Key, keys.Record("upstream", "")); ok {
			return value.Value{Record: &record.Record{Upstream: &upsrec.Upstream{
				Name: name, Service: "s", Incarnation: 1, Addr: netip.MustParseAddrPort("10.0.0.1:80"),
			}}}, nil
		}
		return value.Value{Member: &member.Member{Name: strings.TrimPrefix(it.Key, keys.MemberPrefix)}}, nil
	}
	f := &restartFixture{now: time.Unix(1000, 0), control: contrl.New(member.Member{Name: "me"}, rand.New(rand.NewPCG(1, 1)), decode)}
	f.step(event.Event{Kind: evkind.Tick})
	return f
}

// step passes an event to control and records what it requests and puts in force.
func (f *restartFixture) step(ev event.Event) {
	for _, e := range f.control.Step(f.now, ev) {
		switch {
		case e.Action == action.CallStore && e.Request.Op == kvop.List:
			f.listID = e.Request.ID
		case e.Action == action.CallStore && e.Request.Op == kvop.Watch:
			f.watchID = e.Request.ID
		case e.Action == action.PublishSnapshot && e.Snapshot.Services["s"] != nil:
			f.targets = []string{}
			for _, t := range e.Snapshot.Services["s"].Targets {
				if t.Available() {
					f.targets = append(f.targets, t.Name)
				}
			}
		}
	}
}

// itemsWith returns the stored items of service "s" with the named upstreams.
func itemsWith(upstreams ...string) []item.Item {
	out := []item.Item{{Key: keys.Record("service", "s"), Revision: 1}}
	for i, name := range upstreams {
		out = append(out, item.Item{Key: keys.Record("upstream", name), Revision: revno.Revision(i + 2)})
	}
	return out
}

// peer passes the answer of a peer whose replica of the given revision matched the store age ago.
func (f *restartFixture) peer(age time.Duration, revision revno.Revision, upstreams ...string) {
	d := digest.Digest{From: "peer", Revision: revision, Matched: proof.FromAge(f.now, age), Delta: delta.Delta{Items: itemsWith(upstreams...), Revision: revision, Full: true}}
	f.step(event.Event{Kind: evkind.DigestAnswered, Digest: d})
}

// list answers the pending list request.
func (f *restartFixture) list(revision revno.Revision, upstreams ...string) {
	f.step(event.Event{Kind: evkind.StoreResponse, Response: kvresp.Response{ID: f.listID, Applied: true, Revision: revision, Items: itemsWith(upstreams...)}})
}

// fail makes the pending list request fail.
func (f *restartFixture) fail() {
	f.step(event.Event{Kind: evkind.StoreResponse, Response: kvresp.Response{ID: f.listID, OutcomeUnknown: true}})
}

// A peer that was cut off may still hold a server that has left, or a key that was withdrawn. An entry that starts beside it
// must not put that in force while the store can tell better.
var _ = Describe("An entry that has just started", func() {
	const fresh, stale = tune.MaxPeerStaleness / 2, time.Minute
	for _, tc := range []struct {
		name   string
		events func(f *restartFixture)
		want   []string
	}{
		{"takes the state of a fresh peer", func(f *restartFixture) { f.peer(fresh, 9, "a", "b") }, []string{"a", "b"}},
		{"does not take the state of a stale peer", func(f *restartFixture) { f.peer(stale, 9, "a", "left") }, nil},
		{"takes the state of the store after that of a stale peer", func(f *restartFixture) {
			f.peer(stale, 9, "a", "left")
			f.list(12, "a")
		}, []string{"a"}},
		{"takes the state of the store after that of a stale peer, at the same revision", func(f *restartFixture) {
			f.peer(stale, 9, "a", "left")
			f.list(9, "a")
		}, []string{"a"}},
		{"takes the state of a fresh peer after that of a stale one", func(f *restartFixture) {
			f.peer(stale, 9, "a", "left")
			f.peer(fresh, 12, "a")
		}, []string{"a"}},
		{"takes the state of a stale peer once the store does not answer", func(f *restartFixture) {
			f.peer(stale, 9, "a", "b")
			f.fail()
		}, []string{"a", "b"}},
		{"takes the state of a stale peer after the store has not answered", func(f *restartFixture) {
			f.fail()
			f.peer(stale, 9, "a", "b")
		}, []string{"a", "b"}},
		{"does not take a part of the state of a fresh peer", func(f *restartFixture) {
			d := digest.Digest{From: "peer", Revision: 9, Matched: proof.At(f.now), Delta: delta.Delta{Items: itemsWith("a"), Revision: 5}}
			f.step(event.Event{Kind: evkind.DigestAnswered, Digest: d})
		}, nil},
		{"takes the newest state of stale peers once the store does not answer", func(f *restartFixture) {
			f.peer(stale, 12, "a")
			f.peer(stale, 9, "a", "left")
			f.fail()
		}, []string{"a"}},
	} {
		It(tc.name, func() {
			f := newRestartFixture()
			tc.events(f)
			f.now = f.now.Add(time.Second)
			f.step(event.Event{Kind: evkind.Tick})
			Expect(f.targets).To(Equal(tc.want))
			Expect(f.control.Ready()).To(Equal(tc.want != nil))
		})
	}
})
