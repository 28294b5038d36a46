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
	"github.com/balsamvale/balsamvale/pkg/calls/bind"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// newClients returns the claim clients of n entries that share one simulated store.
func newClients(n int) (*kvsim.Server, []*claims.Client) {
	kv := kvsim.New(clock.Wall(), 1)
	mux := http.NewServeMux()
	mux.Handle(rpc.NewStoreHandler(kv))
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	var clients []*claims.Client
	for i := range n {
		storeClient := store.New(clock.Wall(), http.DefaultClient, []netip.AddrPort{addr})
		c := claims.New(clock.Wall(), fmt.Sprint("entry-", i))
		c.Get, c.CompareAndSwap = storeClient.Get, storeClient.CompareAndSwap
		clients = append(clients, c)
	}
	return kv, clients
}

var _ = Describe("Client", func() {
	ctx := context.Background()
	claimOf := func(key, attempt uint64) claim.Claim {
		return claim.Claim{Key: key, Binding: bind.Binding{Account: 1, Method: 1, URI: 1, Body: 1}, Attempt: attempt, Until: time.Now().Add(time.Hour)}
	}

	for _, tc := range []struct {
		name   string
		state  state.State
		answer answer.Answer
		want   dedup.Result
	}{
		{"returns the remembered answer", state.Answered, answer.Answer{Status: 200, Body: []byte("x")}, dedup.Answered},
		{"frees a key whose call did not run", state.NotRun, answer.Answer{}, dedup.Acquired},
		{"keeps a key whose call may have run", state.Unknown, answer.Answer{}, dedup.Unknown},
	} {
		It(tc.name+" through another entry", func() {
			_, clients := newClients(2)
			c := claimOf(5, 1)
			result, _ := clients[0].Claim(ctx, "s", c)
			Expect(result).To(Equal(dedup.Acquired))
			c.State, c.Answer = tc.state, tc.answer
			clients[0].Complete("s", c)
			result, held := clients[1].Claim(ctx, "s", claimOf(5, 1))
			Expect(result).To(Equal(tc.want))
			Expect(held.Answer).To(Equal(tc.answer))
		})
	}

	for _, tc := range []struct {
		name      string
		replyLoss float64
	}{{"a healthy store", 0}, {"lost replies of the store", 0.3}} {
		It("grants each key at most once over four entries with "+tc.name, func() {
			kv, clients := newClients(4)
			kv.SetReplyLoss(tc.replyLoss)
			var wg sync.WaitGroup
			granted := make([]atomic.Int64, 20)
			for key := range granted {
				for i, c := range clients {
					wg.Add(1)
					go func() {
						defer wg.Done()
						if result, _ := c.Claim(ctx, "s", claimOf(uint64(key)+1, uint64(i*100+key))); result == dedup.Acquired {
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

	It("gives up a claim whose writes another writer always overtakes", func() {
		_, clients := newClients(1)
		swap, swaps := clients[0].CompareAndSwap, atomic.Int64{}
		clients[0].CompareAndSwap = func(ctx context.Context, it item.Item, expect revno.Revision, lease int64) (bool, item.Item, error) {
			swaps.Add(1)
			_, _, err := swap(ctx, item.Item{Key: it.Key}, expect, lease)
			return false, item.Item{}, err
		}
		result, _ := clients[0].Claim(ctx, "s", claimOf(5, 1))
		Expect(result).To(Equal(dedup.Unavailable))
		Expect(swaps.Load()).To(BeNumerically("<=", tune.MaxClaimAttempts))
	})

	It("returns unavailable while the store is down", func() {
		kv, clients := newClients(1)
		kv.SetDown(true)
		result, _ := clients[0].Claim(ctx, "s", claimOf(5, 1))
		Expect(result).To(Equal(dedup.Unavailable))
	})
})
