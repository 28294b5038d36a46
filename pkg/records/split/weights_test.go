package split_test

import (
	"fmt"
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/records/split"
)

var _ = Describe("Weights", func() {
	for _, tc := range []struct {
		shares []float64
		want   []int
	}{
		{nil, []int{}},
		{[]float64{0, 0}, []int{0, 0}},
		{[]float64{62, 38}, []int{62, 38}},
		{[]float64{0, 1, 1 << 29}, []int{0, 1, 1 << 29}},
		{[]float64{0.5, 0.5}, []int{1 << 29, 1 << 29}},
		{[]float64{1 << 40, 3 << 40}, []int{1 << 28, 3 << 28}},
		{[]float64{math.MaxFloat64, math.MaxFloat64}, []int{1 << 29, 1 << 29}},
		{[]float64{math.SmallestNonzeroFloat64, 0}, []int{1 << 30, 0}},
	} {
		It(fmt.Sprintf("have the proportions of %v", tc.shares), func() { Expect(split.Weights(tc.shares)).To(Equal(tc.want)) })
	}

	It("are within 1 of the proportions of shares of any size", func() {
		for _, shares := range [][]float64{{62.5, 37.5}, {0.001, 0.002}, {1e-300, 1, 1e300}, {1. / 3, 1. / 7, 1. / 11}, {1e9, 3e9}} {
			sum := 0.
			for _, s := range shares {
				sum += s
			}
			weights, total := split.Weights(shares), 0
			for i, w := range weights {
				total += w
				Expect(float64(w)).To(BeNumerically("~", shares[i]/sum*(1<<30), 1))
			}
			Expect(total).To(BeNumerically("~", 1<<30, len(weights)))
		}
	})
})
