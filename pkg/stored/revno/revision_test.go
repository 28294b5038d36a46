package revno_test

import (
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "revno")
}

var _ = Describe("A revision", func() {
	// A number that a restored store gives out again must not count as older than one of the era before.
	It("orders by era, then by number, as its integer does", func() {
		list := []revno.Revision{0, 1, 110, revno.New(0, revno.MaxNumber), revno.New(1, 0), revno.New(1, 90), revno.New(2, 1), revno.New(revno.MaxEra, revno.MaxNumber)}
		Expect(slices.IsSorted(list)).To(BeTrue())
	})
	for _, tc := range []struct {
		name        string
		era, number int64
		wantEra     int64
		wantNumber  int64
	}{
		{"keeps both", 3, 110, 3, 110},
		{"of era 0 is the number", 0, 110, 0, 110},
		{"keeps the bounds", revno.MaxEra, revno.MaxNumber, revno.MaxEra, revno.MaxNumber},
		// A peer can send any integer; it must not reach the bits of the other part.
		{"replaces what is too high", 1 << 62, 1 << 62, revno.MaxEra, revno.MaxNumber},
		{"replaces what is negative", -1, -1, 0, 0},
	} {
		It(tc.name, func() {
			r := revno.New(tc.era, tc.number)
			Expect([]int64{r.Era(), r.Number()}).To(Equal([]int64{tc.wantEra, tc.wantNumber}))
			Expect(r.Absent()).To(Equal(revno.New(tc.wantEra, 0)))
		})
	}
})
