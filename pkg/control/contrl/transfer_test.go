package contrl_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/contrl"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// copies returns the item values that each entry has received from its peers since a transfer, and the most that it has sent
// to them within a second, both in multiples of size.
func (f *fleet) copies(since, size int) (received, sent map[*fleetEntry]float64) {
	received, sent = map[*fleetEntry]float64{}, map[*fleetEntry]float64{}
	for i, t := range f.transfers[since:] {
		received[t.to] += float64(t.bytes) / float64(size)
		second := 0.0
		for _, u := range f.transfers[since+i:] {
			if u.from == t.from && u.at.Sub(t.at) < time.Second {
				second += float64(u.bytes) / float64(size)
			}
		}
		sent[t.from] = max(sent[t.from], second)
	}
	return received, sent
}

// Guards against a configuration that comes into force late, or not at all, because each entry that learns of a change sends all
// of it to several peers that have it or are receiving it, on links that take a noticeable part of a second for one copy.
var _ = Describe("A change of a large item", func() {
	const (
		// size is what a configuration of 1,400 routes takes on the link.
		size = 64 << 10
		// linkRate is that of a link of 10 Mbit/s.
		linkRate = 10e6 / 8
		// maxMean is the mean number of copies into an entry, maxReceived that into any one entry, and maxSent that out of any
		// one entry in a second.
		maxMean, maxReceived, maxSent = 1.1, 2, 4
	)
	for _, tc := range []struct {
		entries int
		bound   time.Duration
	}{
		{12, 2 * time.Second},
		{17, 2 * time.Second},
		{118, 2500 * time.Millisecond},
		{473, 2500 * time.Millisecond},
	} {
		It(fmt.Sprintf("crosses the link of each entry about once, and is in force in time: %d entries", tc.entries), func() {
			if testing.Short() && tc.entries > 200 {
				Skip("the fleet runs on one goroutine and takes too long under the race detector")
			}
			f := newFleet(tc.entries, 1)
			f.linkRate = linkRate
			f.writeValue(keys.Record("domain", "config"), make([]byte, size))
			f.run(3 * time.Second)
			for range 2 {
				before, wrote := len(f.transfers), f.now
				f.writeValue(keys.Record("domain", "config"), make([]byte, size))
				f.run(3 * time.Second)
				received, sent := f.copies(before, size)
				total := 0.0
				for _, e := range f.entries {
					total += received[e]
					Expect(e.revision).To(BeNumerically(">=", f.revision), e.name)
					Expect(e.inForceAt.Sub(wrote)).To(BeNumerically("<=", tc.bound), e.name)
					Expect(received[e]).To(BeNumerically("<=", maxReceived), e.name)
					Expect(sent[e]).To(BeNumerically("<=", maxSent), e.name)
				}
				Expect(total / float64(tc.entries)).To(BeNumerically("<=", maxMean))
			}
		})
	}
})

// Guards against entries that are without a configuration for seconds after a restart of most of the fleet, because each asks
// several peers for all of it at once, besides the store.
var _ = Describe("A start of two thirds of the entries", func() {
	const (
		size     = 64 << 10
		linkRate = 10e6 / 8
		// maxSent is the number of copies out of any one entry in a second.
		maxSent = 4
	)
	for _, tc := range []struct {
		entries int
		// cut is set if no entry reaches the store.
		cut bool
		// maxMean is the mean number of copies into an entry from its peers, besides that of the store, maxReceived the number
		// into any one, and bound the time until all have the state.
		maxMean, maxReceived float64
		bound                time.Duration
	}{
		{12, false, 0.1, 1, 500 * time.Millisecond},
		{118, false, 0.1, 1, 500 * time.Millisecond},
		{12, true, 1.1, 2, 2 * time.Second},
	} {
		It(fmt.Sprintf("costs each at most a few copies: %d entries, cut off from the store: %v", tc.entries, tc.cut), func() {
			f := newFleet(tc.entries, 1)
			f.linkRate = linkRate
			f.writeValue(keys.Record("domain", "config"), make([]byte, size))
			f.run(5 * time.Second)
			want, before := f.revision, len(f.transfers)
			for i, e := range f.entries {
				e.cut = tc.cut
				if i%3 != 0 {
					f.restart(e)
				}
			}
			f.run(tc.bound)
			received, sent := f.copies(before, size)
			total := 0.0
			for _, e := range f.entries {
				total += received[e]
				Expect(e.revision).To(BeNumerically(">=", want), e.name)
				Expect(received[e]).To(BeNumerically("<=", tc.maxReceived), e.name)
				Expect(sent[e]).To(BeNumerically("<=", maxSent), e.name)
			}
			Expect(total / float64(tc.entries)).To(BeNumerically("<=", tc.maxMean))
		})
	}
})

// fetching is an entry of a fleet of 100 at revision 100, with the fetches that it has begun.
type fetching struct {
	control *contrl.Control
	now     time.Time
	// asked holds the peers that were asked for changes, and last the last such request.
	asked []string
	last  effect.Effect
}

// step passes an event to control and records the fetches that it begins.
func (f *fetching) step(ev event.Event) {
	for _, e := range f.control.Step(f.now, ev) {
		if e.Action == action.SendDigest && !e.Digest.Brief {
			f.asked, f.last = append(f.asked, e.Peer), e
		}
	}
}

// offer passes the offer of a peer at the given revision.
func (f *fetching) offer(peer string, revision revno.Revision) {
	f.step(event.Event{Kind: evkind.DigestReceived, Digest: digest.Digest{From: peer, Revision: revision, Offer: true, Brief: true}})
}

// answer passes the answer of the peer that was asked last, with the changes up to the given revision.
func (f *fetching) answer(revision revno.Revision) {
	d := digest.Digest{From: f.last.Peer, Revision: revision, Matched: proof.At(f.now), Delta: largeDelta(f.last.Digest.Revision, revision)}
	f.step(event.Event{Kind: evkind.DigestAnswered, FetchID: f.last.FetchID, Digest: d})
}

// push passes a small change that a peer pushes.
func (f *fetching) push(peer string, base, revision revno.Revision) {
	d := delta.Delta{BaseRevision: base, Revision: revision, Items: []item.Item{{Key: keys.Member("new"), Revision: revision}}}
	f.step(event.Event{Kind: evkind.DigestReceived, Digest: digest.Digest{From: peer, Revision: revision, Brief: true, Delta: d}})
}

// largeDelta returns changes after base up to revision that are too large to be pushed.
func largeDelta(base, revision revno.Revision) delta.Delta {
	it := item.Item{Key: keys.Record("move", "m"), Value: make([]byte, tune.MaxPushBytes+1), Revision: revision}
	return delta.Delta{BaseRevision: base, Revision: revision, Items: []item.Item{it}}
}

// Guards against changes that cross the link of an entry several times because it asks several peers for them, and against an
// entry that stays behind because the one peer that it has asked does not answer.
var _ = Describe("An entry to which peers offer large changes", func() {
	for _, tc := range []struct {
		name   string
		events func(f *fetching)
		want   []string
	}{
		{"asks one peer at a time", func(f *fetching) {
			f.offer("entry-1", 110)
			f.offer("entry-2", 110)
			f.offer("entry-3", 111)
		}, []string{"entry-1"}},
		{"asks nobody for what it has", func(f *fetching) {
			f.offer("entry-1", 110)
			f.offer("entry-2", 110)
			f.answer(110)
			f.offer("entry-3", 110)
		}, []string{"entry-1"}},
		{"asks for what was offered in the meantime", func(f *fetching) {
			f.offer("entry-1", 110)
			f.offer("entry-2", 111)
			f.offer("entry-3", 112)
			f.answer(110)
			f.answer(112)
		}, []string{"entry-1", "entry-3"}},
		{"asks for the small changes that followed in the meantime", func(f *fetching) {
			f.offer("entry-1", 110)
			f.push("entry-2", 110, 111)
			f.answer(110)
		}, []string{"entry-1", "entry-2"}},
		{"asks the next peer once one is unreachable", func(f *fetching) {
			f.offer("entry-1", 110)
			f.offer("entry-2", 110)
			f.step(event.Event{Kind: evkind.PeerUnreachable, Peer: "entry-1", FetchID: f.last.FetchID})
		}, []string{"entry-1", "entry-2"}},
		{"goes on waiting when another digest to the peer was not answered", func(f *fetching) {
			f.offer("entry-1", 110)
			f.offer("entry-2", 110)
			f.step(event.Event{Kind: evkind.PeerUnreachable, Peer: "entry-1"})
		}, []string{"entry-1"}},
		{"asks the next peer once one takes too long", func(f *fetching) {
			f.offer("entry-1", 110)
			f.offer("entry-2", 110)
			f.now = f.now.Add(tune.FetchTimeout)
			f.step(event.Event{Kind: evkind.Tick})
		}, []string{"entry-1", "entry-2"}},
		{"asks the next peer once one has sent as many changes as it may", func(f *fetching) {
			f.offer("entry-1", 110)
			f.offer("entry-2", 110)
			f.step(event.Event{Kind: evkind.DigestAnswered, FetchID: f.last.FetchID, Digest: digest.Digest{From: "entry-1", Revision: 110, Matched: proof.At(f.now)}})
		}, []string{"entry-1", "entry-2"}},
		{"asks the same peer again when that offers them again", func(f *fetching) {
			f.offer("entry-1", 110)
			f.now = f.now.Add(tune.FetchTimeout)
			f.step(event.Event{Kind: evkind.Tick})
			f.offer("entry-1", 110)
		}, []string{"entry-1", "entry-1"}},
	} {
		It(tc.name, func() {
			f := &fetching{now: time.Unix(1000, 0)}
			f.control = newControl(f.now, 100)
			f.step(event.Event{Kind: evkind.Tick})
			tc.events(f)
			Expect(f.asked).To(Equal(tc.want))
		})
	}
})

// During an upgrade, peers of an older build ask for changes of any size with each digest, push them, and offer none.
var _ = Describe("Large changes", func() {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name  string
		asked digest.Digest
		// times is how often the peer asks at once; offered and sent are what the last answer does.
		times         int
		offered, sent bool
	}{
		{"are offered to a peer that does not ask for them", digest.Digest{From: "entry-1", Revision: 100, Brief: true}, 1, true, false},
		{"are sent to a peer that asks for them, as one of an older build always does", digest.Digest{From: "entry-1", Revision: 100}, 1, false, true},
		{"are sent a bounded number of times", digest.Digest{From: "entry-1", Revision: 100}, tune.MaxTransfers + 1, false, false},
		{"are not sent to a peer that has them", digest.Digest{From: "entry-1", Revision: 110}, 1, false, false},
	} {
		It(tc.name, func() {
			c := newControl(now, 100)
			pushed := digest.Digest{From: "entry-0", Revision: 110, Delta: largeDelta(100, 110)}
			for _, e := range c.Step(now, event.Event{Kind: evkind.DigestReceived, Digest: pushed}) {
				if e.Action == action.SendDigest {
					Expect(e.Digest.Offer).To(BeTrue())
					Expect(e.Digest.Delta.Items).To(BeEmpty())
				}
			}
			var answer digest.Digest
			for range tc.times {
				for _, e := range c.Step(now, event.Event{Kind: evkind.DigestReceived, Digest: tc.asked}) {
					if e.Action == action.AnswerDigest {
						answer = e.Digest
					}
				}
			}
			Expect(answer.Revision).To(Equal(revno.Revision(110)))
			Expect(answer.Offer).To(Equal(tc.offered))
			Expect(len(answer.Delta.Items) > 0).To(Equal(tc.sent))
		})
	}
})

// Guards against an entry without seeds that has no configuration until a slow store answers, while its peers offer theirs to it
// and it does not know their addresses.
var _ = Describe("A peer that has no state yet", func() {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name      string
		revisions []revno.Revision
		sends     int
	}{
		{"is left to the store at first", []revno.Revision{0}, 0},
		{"is sent all of it when it still has none in the next exchange", []revno.Revision{0, 0}, 1},
		{"is not sent it again at once, when it holds it back", []revno.Revision{0, 0, 0}, 1},
		{"is not sent it once it has some", []revno.Revision{0, 90}, 0},
	} {
		It(tc.name, func() {
			c := newControl(now, 100)
			c.Step(now, event.Event{Kind: evkind.DigestReceived, Digest: digest.Digest{From: "entry-0", Revision: 110, Delta: largeDelta(100, 110)}})
			sends := 0
			for _, revision := range tc.revisions {
				for _, e := range c.Step(now, event.Event{Kind: evkind.DigestAnswered, Digest: digest.Digest{From: "entry-1", Revision: revision, Matched: proof.At(now), Brief: true}}) {
					if e.Action == action.SendDigest && e.Digest.Delta.Full {
						sends++
					}
				}
			}
			Expect(sends).To(Equal(tc.sends))
		})
	}
})
