package wire_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/report"
)

var _ = Describe("Strip", func() {
	for _, tc := range []struct {
		name string
		in   http.Header
		keep []string
	}{
		{"keeps end-to-end headers", http.Header{"Accept": {"a"}, "Content-Type": {"b"}}, []string{"Accept", "Content-Type"}},
		{"removes hop-by-hop headers", http.Header{"Connection": {"close"}, "Te": {"x"}, "Upgrade": {"y"}, "Accept": {"a"}}, []string{"Accept"}},
		{"removes headers named in Connection", http.Header{"Connection": {"X-One, X-Two"}, "X-One": {"1"}, "X-Two": {"2"}}, nil},
		{"removes Balsamvale headers", http.Header{"Balsamvale-Attempt": {"1"}, "Balsamvale-Run": {"none"}}, nil},
	} {
		It(tc.name, func() {
			wire.Strip(tc.in)
			var left []string
			for k := range tc.in {
				left = append(left, k)
			}
			Expect(left).To(ConsistOf(tc.keep))
		})
	}
})

var _ = Describe("ParseReport", func() {
	for _, tc := range []struct {
		name, in string
		want     *report.Report
	}{
		{"parses the output of FormatReport", wire.FormatReport(report.Report{InFlight: 3, Slots: 4, Incarnation: 7, Uptime: time.Second, Cold: true, Draining: true}),
			&report.Report{InFlight: 3, Slots: 4, Incarnation: 7, Uptime: time.Second, Cold: true, Draining: true}},
		{"rejects a report without busy", "slots=4", nil},
		{"rejects a negative busy", "busy=-1", nil},
		// Such a number overflowed where calls were added to it, so that the upstream looked free.
		{"returns nil for a number of calls that is too large", "busy=9223372036854775807&slots=4", nil},
		{"ignores a number of slots that is too large", "busy=1&slots=9223372036854775807", &report.Report{InFlight: 1}},
		{"ignores boot and age if age is invalid", "busy=1&boot=2&age=x", &report.Report{InFlight: 1}},
		{"rejects an empty value", "", nil},
	} {
		It(tc.name, func() { Expect(wire.ParseReport(tc.in)).To(Equal(tc.want)) })
	}
})

func FuzzParseReport(f *testing.F) {
	f.Add("busy=3&slots=4&boot=7&age=1s&cold=1")
	f.Fuzz(func(t *testing.T, s string) {
		if r := wire.ParseReport(s); r != nil && (r.InFlight < 0 || r.InFlight > 1_000_000 || r.Slots < 0 || r.Slots > 1_000_000 || r.Uptime < 0) {
			t.Errorf("negative value in %+v", r)
		}
		_ = wire.ParseCount(s)
	})
}
