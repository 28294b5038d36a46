package daemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The limit on callers' connections", func() {
	for _, tc := range []struct {
		name   string
		files  int
		memory int64
		want   int
	}{
		{"leaves a quarter of the descriptors for everything else", 400, 0, 300},
		{"is lower with little memory", 400, 8 << 20, 153},
		{"is one at the least", 400, 1, 1},
	} {
		It(tc.name, func() { Expect(maxCallerConns(tc.files, tc.memory)).To(Equal(tc.want)) })
	}
})
