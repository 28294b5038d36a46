package core_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"

	"github.com/balsamvale/balsamvale/internal/core"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Guards against an entry that is without a configuration for seconds after its start, because the store and all its seeds send
// the same state to it at once, on a link that takes a noticeable part of a second for one copy.
var _ = Describe("An entry that starts", func() {
	for _, tc := range []struct {
		name string
		// storeUp is set if the store answers, and seedsUp is the number of seeds at the end of the list that do.
		storeUp bool
		seedsUp int
		// copies is the number of seeds that are asked for the state.
		copies int64
	}{
		{"asks no seed for the state while the store answers", true, 3, 0},
		{"asks one seed while the store is away", false, 3, 1},
		{"asks one seed after the other while the store is away", false, 1, 3},
	} {
		It(tc.name, func() {
			log := logs.New(&lockedBuffer{}, clock.Wall(), zapcore.InfoLevel, 1)
			DeferCleanup(log.Close)
			self := member.Member{Name: "e1", Peer: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}
			var seeds []netip.AddrPort
			for i := range 3 {
				seeds = append(seeds, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), uint16(i)))
			}
			co := core.New(clock.Wall(), log, self, seeds, 1, func(item.Item) (value.Value, error) {
				return value.Value{Record: &record.Record{Service: &svcrec.Service{Name: "s"}}}, nil
			})
			items := []item.Item{{Key: keys.Record("service", "s"), Revision: 7}}
			co.CallStore = func(_ context.Context, req kvreq.Request) kvresp.Response {
				if !tc.storeUp || req.Op != kvop.List {
					return kvresp.Response{ID: req.ID, OutcomeUnknown: true}
				}
				return kvresp.Response{ID: req.ID, Applied: true, Revision: 7, Items: items}
			}
			var copies atomic.Int64
			co.SendDigest = func(_ context.Context, e *effect.Effect) (digest.Digest, error) {
				addr, d := e.Addr, e.Digest
				answer := digest.Digest{From: addr.String(), Revision: 7, Offer: true}
				if !d.Brief {
					copies.Add(1)
					answer.Offer, answer.Delta = false, delta.Delta{Revision: 7, Full: true, Items: items}
				}
				if int(addr.Port()) < len(seeds)-tc.seedsUp {
					return digest.Digest{}, core.ErrStopped
				}
				return answer, nil
			}
			ctx, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			co.Start(ctx)
			Eventually(co.Configured, "3s").Should(BeTrue())
			Consistently(copies.Load, 500*time.Millisecond).Should(Equal(tc.copies))
		})
	}
})
