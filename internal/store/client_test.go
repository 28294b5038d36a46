package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

var _ = Describe("Client and Server", func() {
	var kv *kvsim.Server // the simulated store
	var c *store.Client
	ctx := context.Background()
	BeforeEach(func() {
		kv = kvsim.New(clock.Wall(), 1)
		mux := http.NewServeMux()
		mux.Handle(rpc.NewStoreHandler(kv))
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		c = store.New(clock.Wall(), http.DefaultClient, []netip.AddrPort{addr})
	})
	me := value.Value{Member: &member.Member{Name: "e", Peer: netip.MustParseAddrPort("10.0.0.1:1")}}

	for _, tc := range []struct {
		name           string
		setup          func()
		req            kvreq.Request
		outcomeUnknown bool
		applied        bool
		revision       revno.Revision
	}{
		{"creates a key", func() {}, kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me}, false, true, 1},
		{"does not create a key twice", func() { _, _, _ = c.CompareAndSwap(ctx, item.Item{Key: "sys/a"}, 0, 0) },
			kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me}, false, false, 1},
		{"replaces a key", func() { _, _, _ = c.CompareAndSwap(ctx, item.Item{Key: "sys/a"}, 0, 0) },
			kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me, ExpectedRevision: 1}, false, true, 2},
		{"does not know the outcome while the store is down", func() { kv.SetDown(true) }, kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me}, true, false, 0},
		{"does not know the outcome when the reply is lost", func() { kv.SetReplyLoss(1) }, kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me}, true, false, 0},
		{"grants a lease", func() {}, kvreq.Request{Op: kvop.Lease, TTL: time.Second}, false, true, 0},
		{"does not renew an unknown lease", func() {}, kvreq.Request{Op: kvop.Lease, LeaseID: 9, TTL: time.Second}, false, false, 0},
		{"does not write under an unknown lease", func() {}, kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me, LeaseID: 9}, false, false, 0},
		{"reports changes that happened before the watch began", func() { _, _, _ = c.CompareAndSwap(ctx, item.Item{Key: "sys/a"}, 0, 0) },
			kvreq.Request{Op: kvop.Watch, Key: "sys/", Wait: time.Second}, false, true, 1},
	} {
		It(tc.name, func() {
			tc.setup()
			res := c.Do(ctx, tc.req)
			Expect(res.OutcomeUnknown).To(Equal(tc.outcomeUnknown))
			Expect(res.Applied).To(Equal(tc.applied))
			Expect(res.Revision).To(Equal(tc.revision))
		})
	}

	It("removes the keys of an expired lease, and reports that to watches", func() {
		lease := c.Do(ctx, kvreq.Request{Op: kvop.Lease, TTL: time.Hour})
		Expect(c.Do(ctx, kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/m", Value: me, LeaseID: lease.LeaseID}).Applied).To(BeTrue())
		kv.ExpireLeases()
		res := c.Do(ctx, kvreq.Request{Op: kvop.Watch, Key: "sys/", SinceRevision: 1, Wait: time.Minute})
		Expect(res.Items).To(HaveLen(1))
		Expect(res.Items[0].Tombstone).To(BeTrue())
	})

	It("fails above the store's limit of writes per second", func() {
		failed := 0
		for range 700 {
			if c.Do(ctx, kvreq.Request{Op: kvop.Lease, TTL: time.Second}).OutcomeUnknown {
				failed++
			}
		}
		Expect(failed).To(BeNumerically(">", 0))
	})
})

// The store gives out the numbers of its revisions and leases again after it was restored from an older copy.
var _ = Describe("A client of a store that was restored", func() {
	ctx := context.Background()
	me := value.Value{Member: &member.Member{Name: "e", Peer: netip.MustParseAddrPort("10.0.0.1:1")}}
	for _, tc := range []struct {
		name string
		// aware is set if a response of the new era came before the request.
		aware bool
		// do makes a request with what is known of the era before, and ends the test on a wrong outcome.
		do func(c *store.Client, before item.Item, lease int64)
	}{
		{"does not send a condition of the era before", true, func(c *store.Client, before item.Item, _ int64) {
			res := c.Do(ctx, kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me, ExpectedRevision: before.Revision})
			Expect([]bool{res.Applied, res.OutcomeUnknown}).To(Equal([]bool{false, false}))
			Expect(c.Writes.Load()).To(Equal(uint64(3)), "the writes before, and the one of the new era")
		}},
		{"does not take a write that the new era carried out for one under the condition", false, func(c *store.Client, before item.Item, _ int64) {
			res := c.Do(ctx, kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me, ExpectedRevision: before.Revision})
			Expect([]bool{res.Applied, res.OutcomeUnknown}).To(Equal([]bool{false, true}))
		}},
		{"answers a watch after a revision of the era before as compacted, unsent", true, func(c *store.Client, before item.Item, _ int64) {
			reads := c.Reads.Load()
			Expect(c.Do(ctx, kvreq.Request{Op: kvop.Watch, Key: "sys/", SinceRevision: before.Revision, Wait: time.Minute}).Compacted).To(BeTrue())
			Expect(c.Reads.Load()).To(Equal(reads))
		}},
		{"takes the changes after a number that was given out again as compacted", false, func(c *store.Client, before item.Item, _ int64) {
			res := c.Do(ctx, kvreq.Request{Op: kvop.Watch, Key: "sys/", SinceRevision: before.Revision - 1, Wait: time.Minute})
			Expect([]bool{res.Compacted, res.OutcomeUnknown}).To(Equal([]bool{true, false}))
		}},
		{"does not renew a lease whose ID was granted again", false, func(c *store.Client, _ item.Item, lease int64) {
			res := c.Do(ctx, kvreq.Request{Op: kvop.Lease, LeaseID: lease, TTL: time.Minute})
			Expect([]bool{res.Applied, res.OutcomeUnknown}).To(Equal([]bool{false, false}))
		}},
		{"reads revisions of the new era", false, func(c *store.Client, before item.Item, _ int64) {
			it, err := c.Get(ctx, "sys/a")
			Expect(err).NotTo(HaveOccurred())
			Expect([]int64{it.Revision.Era(), it.Revision.Number()}).To(Equal([]int64{1, before.Revision.Number()}))
			it, err = c.Get(ctx, "sys/none")
			Expect(err).NotTo(HaveOccurred())
			Expect(it.Revision).To(Equal(revno.New(1, 0)))
		}},
	} {
		It(tc.name, func() {
			kv := kvsim.New(clock.Wall(), 1)
			mux := http.NewServeMux()
			mux.Handle(rpc.NewStoreHandler(kv))
			server := httptest.NewServer(mux)
			DeferCleanup(server.Close)
			addrs := []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
			c, other := store.New(clock.Wall(), http.DefaultClient, addrs), store.New(clock.Wall(), http.DefaultClient, addrs)
			copied := kv.Copy()
			lease := c.Do(ctx, kvreq.Request{Op: kvop.Lease, TTL: time.Minute}).LeaseID
			_, before, err := c.CompareAndSwap(ctx, item.Item{Key: "sys/a", Value: []byte("lost")}, 0, 0)
			Expect(err).NotTo(HaveOccurred())
			kv.Restore(copied, 0)
			// Another client is given the same lease ID and writes the key at the same number.
			again := other.Do(ctx, kvreq.Request{Op: kvop.Lease, TTL: time.Minute})
			Expect([]int64{again.LeaseID, again.LeaseEra}).To(Equal([]int64{lease, 1}))
			done, it, err := other.CompareAndSwap(ctx, item.Item{Key: "sys/a", Value: []byte("new")}, other.Absent(), 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(done).To(BeTrue())
			Expect(it.Revision.Number()).To(Equal(before.Revision.Number()))
			if tc.aware {
				Expect(c.Do(ctx, kvreq.Request{Op: kvop.Lease, TTL: time.Minute}).LeaseEra).To(Equal(int64(1)))
			}
			tc.do(c, before, lease)
		})
	}
})
