package contrl_test

import (
	"fmt"
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
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/shared/snap"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// decodeOrder decodes a service, an upstream, or the order of a rollout, whose name holds its revision.
func decodeOrder(it item.Item) (value.Value, error) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(it.Key, keys.RecordPrefix), "/")
	switch kind {
	case "service":
		return value.Value{Record: &record.Record{Service: &svcrec.Service{Name: name, Slots: 1, Conns: 1, ColdRate: 1, ProbesPerCall: 1}}}, nil
	case "upstream":
		return value.Value{Record: &record.Record{Upstream: &upsrec.Upstream{Name: name, Service: "s", Version: name, Incarnation: 1, Addr: netip.MustParseAddrPort("10.0.0.1:80")}}}, nil
	case "move":
		return value.Value{Record: &record.Record{Rollout: &rolrec.Rollout{Name: fmt.Sprint(name, "/", it.Revision.Number()), Service: name, To: string(it.Value), Duration: time.Minute}}}, nil
	}
	p := &progrs.Progress{Rollout: strings.TrimPrefix(it.Key, keys.RolloutPrefix), Phase: phase.Shifting, Start: time.Unix(1000, 0), SteppedAt: time.Unix(1000, 0)}
	_, err := fmt.Sscan(string(it.Value), &p.Permille)
	return value.Value{Progress: p}, err
}

// Guards against a bad version that gets calls again: an entry has rolled it back, the store is restored before it holds that, and the
// order is written again, so that the rollout has another name than in the report of the rollback.
var _ = Describe("A rollback that a restored store does not hold", func() {
	for _, tc := range []struct {
		name string
		// late is set if the report of the rollback comes after the order was written again.
		late bool
	}{
		{"reported before", false},
		{"reported by an entry that does not know the new name", true},
	} {
		It("stays in force and is written again: "+tc.name, func() {
			now := time.Unix(1000, 0)
			c := contrl.New(member.Member{Name: "e", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)), decodeOrder)
			var inForce *snap.Snapshot
			var written []progrs.Progress
			step := func(ev event.Event) {
				for _, e := range c.Step(now, ev) {
					switch {
					case e.Action == action.PublishSnapshot:
						inForce = e.Snapshot
					case e.Action == action.CallStore && e.Request.Op == kvop.CompareAndSwap && e.Request.Value.Progress != nil:
						written = append(written, *e.Request.Value.Progress)
					}
				}
			}
			state := func(era, revision int64, order int64, progress ...item.Item) {
				items := append([]item.Item{
					{Key: keys.Record("service", "s"), Value: []byte("s"), Revision: revno.New(era, 1)},
					{Key: keys.Record("upstream", "v1"), Value: []byte("v1"), Revision: revno.New(era, 2)},
					{Key: keys.Record("upstream", "v2"), Value: []byte("v2"), Revision: revno.New(era, 3)},
					{Key: keys.Record("move", "s"), Value: []byte("v2"), Revision: revno.New(era, order)},
				}, progress...)
				step(event.Event{Kind: evkind.DigestAnswered, Digest: digest.Digest{
					From: "p", Revision: revno.New(era, revision), Matched: proof.At(now), Delta: delta.Delta{Full: true, Revision: revno.New(era, revision), Items: items},
				}})
			}
			shares := func() (permille int) {
				for _, s := range inForce.Services["s"].Shares {
					if s.Version == "v2" {
						permille = s.Permille
					}
				}
				return permille
			}
			rollBack := func() {
				step(event.Event{Kind: evkind.FactReported, Fact: fact.Fact{Topic: topic.RolledBack, Subject: "s/8", Until: now.Add(tune.RollbackTTL), Detail: "it fails"}})
			}
			state(0, 10, 8, item.Item{Key: keys.Rollout("s/8"), Value: []byte("400"), Revision: revno.New(0, 9)})
			Expect(shares()).To(Equal(400))
			if !tc.late {
				rollBack()
				Expect(shares()).To(BeZero())
			}
			now = now.Add(time.Second)
			state(1, 6, 5)
			if tc.late {
				Expect(shares()).To(Equal(400))
				rollBack()
			}
			Expect(shares()).To(BeZero())
			written = nil
			for range 20 {
				now = now.Add(tune.Tick)
				step(event.Event{Kind: evkind.Tick})
				Expect(shares()).To(BeZero())
			}
			Expect(written).NotTo(BeEmpty())
			Expect(written[len(written)-1].Rollout).To(Equal("s/5"))
			Expect(written[len(written)-1].Phase).To(Equal(phase.RolledBack))
		})
	}
})
