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
		inTrial     bool
		pass, trial bool
	}{
		{"allows calls initially", 0, 0, false, true, false},
		{"stays closed after fewer failures than the limit", tune.BreakerFailures - 1, 0, false, true, false},
		{"opens after consecutive failures", tune.BreakerFailures, 0, false, false, false},
		{"allows a trial after the open time", tune.BreakerFailures, tune.BreakerMinOpen, false, true, true},
		{"allows one trial at a time", tune.BreakerFailures, tune.BreakerMinOpen, true, false, false},
	} {
		It(tc.name, func() {
			b := &circ.Breaker{}
			for range tc.fails {
				b.Fail(start)
			}
			if tc.inTrial {
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
