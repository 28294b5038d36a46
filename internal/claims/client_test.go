package claims_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/claims"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// newClients builds keepers of several entries on one stand-in of the store.
func newClients(n int) (*kvsim.Server, []*claims.Client) {
	kv := kvsim.New(clock.Wall(), 1)
	mux := http.NewServeMux()
	mux.Handle(rpc.NewStoreHandler(kv))
	srv := httptest.NewServer(mux)
	DeferCleanup(srv.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	var ks []*claims.Client
	for i := range n {
		c := store.New(http.DefaultClient, []netip.AddrPort{addr})
		k := claims.New(clock.Wall(), fmt.Sprint("entry-", i))
		k.Get, k.CompareAndSwap = c.Get, c.CompareAndSwap
		ks = append(ks, k)
	}
	return kv, ks
}

var _ = Describe("Keeper", func() {
	ctx := context.Background()
	until := time.Now().Add(time.Hour)

	for _, tc := range []struct {
		name  string
		first state.State
		ans   answer.Answer
		want  dedup.Result
	}{
		{"gives the remembered answer", state.Answered, answer.Answer{Status: 200, Body: []byte("x")}, dedup.Answered},
		{"frees a key whose call did not run", state.NotRun, answer.Answer{}, dedup.Acquired},
		{"keeps a key whose call may have run", state.Unknown, answer.Answer{}, dedup.Unknown},
	} {
		It(tc.name+" through another entry", func() {
			_, ks := newClients(2)
			g, _ := ks[0].Claim(ctx, "s", 5, 1, until)
			Expect(g).To(Equal(dedup.Acquired))
			ks[0].Complete("s", 5, 1, tc.first, tc.ans)
			g, a := ks[1].Claim(ctx, "s", 5, 1, until)
			Expect(g).To(Equal(tc.want))
			Expect(a).To(Equal(tc.ans))
		})
	}

	for _, tc := range []struct {
		name string
		lose float64
	}{{"a healthy store", 0}, {"lost answers", 0.3}} {
		It("grants each key once over four entries with "+tc.name, func() {
			kv, ks := newClients(4)
			kv.SetReplyLoss(tc.lose)
			var wg sync.WaitGroup
			granted := make([]atomic.Int64, 20)
			for key := range granted {
				for i, k := range ks {
					wg.Add(1)
					go func() {
						defer wg.Done()
						if g, _ := k.Claim(ctx, "s", uint64(key)+1, uint64(i*100+key), until); g == dedup.Acquired {
							granted[key].Add(1)
						}
					}()
				}
			}
			wg.Wait()
			for key := range granted {
				Expect(granted[key].Load()).To(BeNumerically("<=", 1), "key %d", key)
			}
		})
	}

	It("refuses when the store is down", func() {
		kv, ks := newClients(1)
		kv.SetDown(true)
		g, _ := ks[0].Claim(ctx, "s", 5, 1, until)
		Expect(g).To(Equal(dedup.Unavailable))
	})
})
