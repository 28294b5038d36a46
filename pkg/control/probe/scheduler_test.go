package probe_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/probe"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "probe")
}

var _ = Describe("Sweep", func() {
	It("keeps only the upstreams that were probed lately", func() {
		now := time.Unix(1000, 0)
		s := probe.New()
		for i := range 1000 {
			now = now.Add(tune.ProbeReportAge / 10)
			Expect(s.Due(now, fmt.Sprint("u", i), 1, time.Hour, true)).To(BeTrue())
		}
		s.Sweep(now)
		Expect(s.Len()).To(BeNumerically("<=", 21))
		Expect(s.Due(now, "u999", 1, time.Hour, true)).To(BeFalse())
	})
})
