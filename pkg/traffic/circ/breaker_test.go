package circ_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/circ"
)

var _ = Describe("Breaker", func() {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name        string
		fails       int
		after       time.Duration
		trying      bool
		pass, trial bool
	}{
		{"passes at first", 0, 0, false, true, false},
		{"bears single failures", tune.BreakerFailures - 1, 0, false, true, false},
		{"opens after failures in a row", tune.BreakerFailures, 0, false, false, false},
		{"lets a trial through", tune.BreakerFailures, tune.BreakerMinOpen, false, true, true},
		{"lets one trial through at a time", tune.BreakerFailures, tune.BreakerMinOpen, true, false, false},
	} {
		It(tc.name, func() {
			b := &circ.Breaker{}
			for range tc.fails {
				b.Fail(start)
			}
			if tc.trying {
				b.StartTrial()
			}
			pass, trial := b.Allows(start.Add(tc.after))
			Expect(pass).To(Equal(tc.pass))
			Expect(trial).To(Equal(tc.trial))
			b.Succeed()
			pass, _ = b.Allows(start)
			Expect(pass).To(BeTrue())
		})
	}
})
