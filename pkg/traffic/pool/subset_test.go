package pool_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/stage"
)

// Load pattern: entries that share a service spread their calls over the upstreams that they keep to.
// Guards against upstreams that no entry prefers and others that many do, where upstreams have few slots: the busiest got twice
// the mean.
var _ = Describe("The subsets of all entries", func() {
	for _, tc := range []struct {
		name                      string
		entries, upstreams, slots int
		// unused is set if some upstreams get no calls, and size the largest number of upstreams that an entry uses.
		unused bool
		size   int
	}{
		{"reach all upstreams of few slots", 96, 154, 3, false, 24},
		{"stay small for upstreams with about as many slots as entries that use them", 118, 165, 4, false, 8},
		{"stay small in a small fleet", 17, 120, 2, true, 8},
	} {
		It(tc.name, func() {
			users := map[string]int{}
			for i := range tc.entries {
				cfg := newConfig(tc.upstreams)
				cfg.Entry, cfg.EntryCount, cfg.EntryRank = fmt.Sprintf("entry-%d", i), tc.entries, i
				cfg.Service.Slots, cfg.Service.ProbesPerCall, cfg.Service.Conns = tc.slots, 3, 10000
				p := newPool(cfg)
				own := map[string]bool{}
				for range 24 {
					ch := p.Pick(start, patientCall(start), nil, nil)
					Expect(ch.Stage).To(Equal(stage.Send))
					own[ch.Target.Name] = true
				}
				for name := range own {
					users[name]++
				}
				Expect(len(own)).To(BeNumerically("<=", tc.size))
			}
			Expect(len(users) < tc.upstreams).To(Equal(tc.unused))
		})
	}
})
