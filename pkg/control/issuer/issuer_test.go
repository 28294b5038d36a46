package issuer_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/issuer"
	"github.com/balsamvale/balsamvale/pkg/traffic/wallet"
)

var _ = Describe("Ledger and Wallet", func() {
	for _, tc := range []struct {
		name  string
		bound int
		seed  uint64
	}{{"one", 1, 1}, {"two", 2, 2}, {"four", 4, 3}} {
		It("never has more than "+tc.name+" in flight over random grants, losses and returns", func() {
			rnd := rand.New(rand.NewPCG(tc.seed, 0))
			now := time.Unix(1000, 0)
			l := issuer.New(0)
			type flight struct{ until time.Time }
			wallets := make([]wallet.Wallet, 5)
			flying := map[uint64]flight{}
			for range 20000 {
				now = now.Add(time.Duration(rnd.IntN(20)) * time.Millisecond)
				i := rnd.IntN(len(wallets))
				w := &wallets[i]
				_, back := w.TakeDemand()
				l.Return("u", back)
				w.Add(l.Grant(now, "u", 1, 1+rnd.IntN(3), tc.bound, time.Second)...)
				if c, ok := w.Take(now, 100*time.Millisecond); ok && rnd.IntN(3) > 0 {
					flying[c.ID] = flight{c.Until}
				}
				for id, f := range flying {
					ended := !now.Before(f.until)
					if rnd.IntN(4) == 0 && !ended {
						w.Return(id)
						ended = true
					}
					if ended {
						delete(flying, id)
					}
				}
				Expect(len(flying)).To(BeNumerically("<=", tc.bound))
				Expect(l.Outstanding(now, "u")).To(BeNumerically("<=", tc.bound))
			}
		})
	}
})
