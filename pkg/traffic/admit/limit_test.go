package admit_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/traffic/admit"
)

// Guards against entries that start together, learn of each other only then, and keep the limits of a smaller fleet.
var _ = Describe("SetInitial", func() {
	for _, tc := range []struct {
		name    string
		answers int
		initial []int
		want    int
	}{
		{"sets the limit before the first answer", 0, []int{3, 5}, 5},
		{"lowers the limit in proportion after answers", 10, []int{4}, 4},
		{"does not raise the limit after answers", 1, []int{12}, 8},
		{"keeps the limit at 1 at the least", 1, []int{1, 1}, 1},
	} {
		It(tc.name, func() {
			l := admit.New[string](8)
			for range tc.answers {
				l.Adapt(false)
			}
			for _, n := range tc.initial {
				l.SetInitial(n)
			}
			Expect(l.Limit()).To(Equal(tc.want))
		})
	}
})
