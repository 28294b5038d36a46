package canary_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/traffic/canary"
)

// Load pattern: a few entries, each with a few calls a second, move a service to a version. Entries that were paused, or lost
// some upstreams, see failures of both versions and report both.
var _ = Describe("Pooled evidence", func() {
	for _, tc := range []struct {
		name         string
		baseline     tally.Tally
		calls, fails int
		bad          bool
	}{
		{"of a version that fails", tally.Tally{Calls: 100}, 10, 3, true},
		{"of a version that fails rarely", tally.Tally{Calls: 100, Failures: 1}, 100, 1, false},
		{"of failures that the old version has too", tally.Tally{Calls: 100, Failures: 30}, 10, 3, false},
		{"of a version that fails, and an old one that fails rarely", tally.Tally{Calls: 100, Failures: 2}, 10, 4, true},
		{"without outcomes of the old version", tally.Tally{}, 10, 3, true},
	} {
		It("judges the version as one: "+tc.name, func() {
			a := canary.New()
			_, _ = a.RecordBaselineTally(tc.baseline, 2)
			found := false
			for i := range 4 {
				t := tally.Tally{Upstream: fmt.Sprint("u", i%2), Calls: tc.calls, Failures: tc.fails}
				_, bad := a.RecordTally(t, 2)
				found = found || bad
			}
			Expect(found).To(Equal(tc.bad))
		})
	}
})
