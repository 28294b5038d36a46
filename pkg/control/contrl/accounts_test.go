package contrl_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/accts"
	"github.com/balsamvale/balsamvale/pkg/control/contrl"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/records/accrec"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/shared/snap"
	"github.com/balsamvale/balsamvale/pkg/stored/batch"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Guards against a key that is served too long: it stays in the snapshot after its removal, or the configuration is taken as newer
// than it is because the process was paused after a peer's answer had arrived.
var _ = Describe("The client accounts in force", func() {
	decode := func(it item.Item) (value.Value, error) {
		b := &batch.Batch{}
		for _, key := range it.Value {
			b.Records = append(b.Records, &record.Record{Account: &accrec.Account{Name: string(key), Digests: [][32]byte{accts.Digest(string(key))}}})
		}
		return value.Value{Batch: b}, nil
	}
	start := time.Unix(1000, 0)
	// answer returns the event of a peer's answer that arrived at a time and says that the keys are as of age before.
	answer := func(revision revno.Revision, keys string, arrived time.Time, age time.Duration) event.Event {
		return event.Event{Kind: evkind.DigestAnswered, Digest: digest.Digest{
			From: "p", Revision: revision, Matched: proof.At(arrived.Add(-age)),
			Delta: delta.Delta{Full: true, Revision: revision, Items: []item.Item{{Key: "sys/rec/set/", Value: []byte(keys), Revision: revision}}},
		}}
	}

	It("follow each change, and are as old as the answer was when it arrived", func() {
		c := contrl.New(member.Member{Name: "e", Peer: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 1}, rand.New(rand.NewPCG(1, 1)), decode)
		var inForce *snap.Snapshot
		for _, tc := range []struct {
			revision revno.Revision
			keys     string
			// paused is the time for which the process was paused after the answer had arrived.
			paused time.Duration
		}{{5, "ab", 0}, {6, "b", time.Minute}, {7, "", 0}} {
			arrived := start.Add(time.Duration(tc.revision) * 2 * time.Minute)
			for _, e := range c.Step(arrived.Add(tc.paused), answer(tc.revision, tc.keys, arrived, 100*time.Millisecond)) {
				if e.Action == action.PublishSnapshot {
					inForce = e.Snapshot
				}
			}
			Expect(inForce.Accounts.Keys()).To(Equal(len(tc.keys)))
			Expect(inForce.Accounts == nil).To(Equal(tc.keys == ""))
			Expect(inForce.OperatorRevision).To(Equal(tc.revision))
			Expect(c.Matched()).To(Equal(proof.At(arrived.Add(-100 * time.Millisecond))))
		}
	})
})
