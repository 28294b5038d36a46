package pool_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Failure: all entries of a fleet start at once, each with the limit of a small fleet, and send more calls than their upstreams
// have slots (96 entries with a limit of 8 for 462 slots).
var _ = Describe("The admission limits of entries that start together", func() {
	for _, tc := range []struct {
		name                      string
		entries, upstreams, slots int
		want                      int
	}{
		{"add up to the slots in a large fleet", 96, 154, 3, 4},
		{"are at least 1", 41, 11, 3, 1},
		{"are at most the usual initial limit", 109, 320, 4, 8},
		{"are the usual ones in a small fleet", 17, 17, 4, 8},
	} {
		It(tc.name, func() {
			cfg := newConfig(tc.upstreams)
			cfg.EntryCount, cfg.Service.Slots, cfg.Service.ProbesPerCall = tc.entries, tc.slots, 3
			limit, _ := newPool(cfg).AdmissionStats()
			Expect(limit).To(Equal(tc.want))
		})
	}
})
