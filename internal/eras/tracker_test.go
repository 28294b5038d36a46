package eras_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/eras"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "eras")
}

// A response of the store as it was before it was restored must not be taken for one of the store as it is.
var _ = Describe("A tracker", func() {
	for _, tc := range []struct {
		name  string
		texts []string
		// err is that of the last text, and era the highest one afterwards.
		err error
		era int64
	}{
		{"counts a store without eras as era 0", []string{"", ""}, nil, 0},
		{"takes in a higher era", []string{"", "1", "3"}, nil, 3},
		{"notices a late response", []string{"3", "2"}, eras.ErrLate, 3},
		{"notices a late response of a store that lacks the era", []string{"1", ""}, eras.ErrLate, 1},
		{"refuses text", []string{"2", "x"}, eras.ErrInvalid, 2},
		{"refuses a fraction", []string{"2", "2.5"}, eras.ErrInvalid, 2},
		{"refuses a negative era", []string{"2", "-1"}, eras.ErrInvalid, 2},
		{"refuses an era out of bounds", []string{"2", "9999999999"}, eras.ErrInvalid, 2},
	} {
		It(tc.name, func() {
			var t eras.Tracker
			Expect(t.Known()).To(BeFalse())
			var err error
			for _, text := range tc.texts {
				_, err = t.Observe(text)
			}
			Expect(eris.Is(err, tc.err)).To(BeTrue())
			Expect(t.Era()).To(Equal(tc.era))
			Expect([]bool{t.Known(), t.Passed(tc.era - 1), t.Passed(tc.era)}).To(Equal([]bool{true, true, false}))
		})
	}
})
