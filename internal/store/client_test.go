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
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

var _ = Describe("Client and Server", func() {
	var kv *kvsim.Server
	var c *store.Client
	ctx := context.Background()
	BeforeEach(func() {
		kv = kvsim.New(clock.Wall(), 1)
		mux := http.NewServeMux()
		mux.Handle(rpc.NewStoreHandler(kv))
		srv := httptest.NewServer(mux)
		DeferCleanup(srv.Close)
		addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
		c = store.New(http.DefaultClient, []netip.AddrPort{addr})
	})
	me := value.Value{Member: &member.Member{Name: "e", Peer: netip.MustParseAddrPort("10.0.0.1:1")}}

	for _, tc := range []struct {
		name   string
		before func()
		order  kvreq.Request
		failed bool
		done   bool
		rev    int64
	}{
		{"creates a key", func() {}, kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me}, false, true, 1},
		{"does not create a key twice", func() { _, _, _ = c.CompareAndSwap(ctx, item.Item{Key: "sys/a"}, 0, 0) },
			kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me}, false, false, 1},
		{"replaces a key", func() { _, _, _ = c.CompareAndSwap(ctx, item.Item{Key: "sys/a"}, 0, 0) },
			kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me, ExpectedRevision: 1}, false, true, 2},
		{"fails while the service is down", func() { kv.SetDown(true) }, kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me}, true, false, 0},
		{"does not know the outcome when the answer is lost", func() { kv.SetReplyLoss(1) }, kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me}, true, false, 0},
		{"grants a lease", func() {}, kvreq.Request{Op: kvop.Lease, TTL: time.Second}, false, true, 0},
		{"does not renew an unknown lease", func() {}, kvreq.Request{Op: kvop.Lease, LeaseID: 9, TTL: time.Second}, false, false, 0},
		{"does not write under a lapsed lease", func() {}, kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/a", Value: me, LeaseID: 9}, false, false, 0},
		{"watches from the past", func() { _, _, _ = c.CompareAndSwap(ctx, item.Item{Key: "sys/a"}, 0, 0) },
			kvreq.Request{Op: kvop.Watch, Key: "sys/", Wait: time.Second}, false, true, 1},
	} {
		It(tc.name, func() {
			tc.before()
			r := c.Do(ctx, tc.order)
			Expect(r.OutcomeUnknown).To(Equal(tc.failed))
			Expect(r.Applied).To(Equal(tc.done))
			Expect(r.Revision).To(Equal(tc.rev))
		})
	}

	It("removes the keys of a lease that lapsed, and tells the watches", func() {
		l := c.Do(ctx, kvreq.Request{Op: kvop.Lease, TTL: time.Hour})
		Expect(c.Do(ctx, kvreq.Request{Op: kvop.CompareAndSwap, Key: "sys/m", Value: me, LeaseID: l.LeaseID}).Applied).To(BeTrue())
		kv.ExpireLeases()
		r := c.Do(ctx, kvreq.Request{Op: kvop.Watch, Key: "sys/", SinceRevision: 1, Wait: time.Minute})
		Expect(r.Items).To(HaveLen(1))
		Expect(r.Items[0].Tombstone).To(BeTrue())
	})

	It("keeps to its limit of writes", func() {
		failed := 0
		for range 700 {
			if c.Do(ctx, kvreq.Request{Op: kvop.Lease, TTL: time.Second}).OutcomeUnknown {
				failed++
			}
		}
		Expect(failed).To(BeNumerically(">", 0))
	})
})
