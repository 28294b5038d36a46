package issuer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/issuer"
	"github.com/balsamvale/balsamvale/pkg/traffic/wallet"
)

var _ = Describe("Issuer and wallets", func() {
	for _, tc := range []struct {
		name  string
		limit int
		seed  uint64
	}{{"one", 1, 1}, {"two", 2, 2}, {"four", 4, 3}} {
		It("keeps at most "+tc.name+" calls in flight over random grants, lost credits and returns", func() {
			rnd := rand.New(rand.NewPCG(tc.seed, 0))
			now := time.Unix(1000, 0)
			is := issuer.New(0)
			type call struct{ until time.Time }
			wallets := make([]wallet.Wallet, 5)
			inFlight := map[uint64]call{}
			for range 20000 {
				now = now.Add(time.Duration(rnd.IntN(20)) * time.Millisecond)
				i := rnd.IntN(len(wallets))
				w := &wallets[i]
				_, returned := w.TakeDemand()
				is.Return("u", returned)
				w.Add(is.Grant(now, "u", 1, 1+rnd.IntN(3), tc.limit, time.Second)...)
				if c, ok := w.Take(now, 100*time.Millisecond); ok && rnd.IntN(3) > 0 {
					inFlight[c.ID] = call{c.Until}
				}
				for id, c := range inFlight {
					ended := !now.Before(c.until)
					if rnd.IntN(4) == 0 && !ended {
						w.Return(id)
						ended = true
					}
					if ended {
						delete(inFlight, id)
					}
				}
				Expect(len(inFlight)).To(BeNumerically("<=", tc.limit))
				Expect(is.Outstanding(now, "u")).To(BeNumerically("<=", tc.limit))
			}
		})
	}
})

// Upstreams are replaced by others of new names, thousands a day.
var _ = Describe("Sweep", func() {
	It("keeps only the upstreams with outstanding credits", func() {
		now := time.Unix(1000, 0)
		is := issuer.New(0)
		for i := range 1000 {
			now = now.Add(time.Millisecond)
			is.Grant(now, fmt.Sprint("u", i), 1, 1, 1, 100*time.Millisecond)
		}
		is.Sweep(now)
		Expect(is.Len()).To(Equal(100))
		Expect(is.Grant(now, "u999", 1, 1, 1, time.Second)).To(BeEmpty(), "its credit is outstanding")
	})
})
