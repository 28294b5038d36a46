package codec_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/duties/decis"
	"github.com/balsamvale/balsamvale/pkg/duties/handov"
	"github.com/balsamvale/balsamvale/pkg/duties/tenure"
	"github.com/balsamvale/balsamvale/pkg/duties/usage"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Guards against a later holder that reads something else than what was decided.
var _ = Describe("The state of a duty", func() {
	It("is read as it was written", func() {
		d := decis.Decisions{
			To:    7,
			Open:  []usage.Usage{{Window: 6, Counts: map[string]int64{"a": 1, "b": 2}}, {Window: 7, Counts: map[string]int64{}}},
			Carry: []handov.Handover{{From: "e.1", Usages: []usage.Usage{{Window: 8, Counts: map[string]int64{"a": 3}}}}},
		}
		work, err := codec.EncodeDecisions(d)
		Expect(err).NotTo(HaveOccurred())
		t := tenure.Tenure{Entry: "e", Incarnation: 3, Token: 1 << 50, Recent: []string{"f", "g"}, Work: work}
		data, err := codec.Encode(value.Value{Tenure: &t})
		Expect(err).NotTo(HaveOccurred())
		v, err := codec.DecodeDuty(item.Item{Key: keys.Tenure("usage"), Value: data})
		Expect(err).NotTo(HaveOccurred())
		Expect(*v.Tenure).To(Equal(t))
		got, err := codec.DecodeDecisions(v.Tenure.Work)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(d))
	})
})

func FuzzDuty(f *testing.F) {
	f.Add("job/usage/holder", []byte{10, 1, 65})
	f.Add("job/usage/state", []byte{10, 1, 65, 42, 2, 8, 7})
	f.Fuzz(func(t *testing.T, key string, data []byte) {
		_, _ = codec.DecodeDuty(item.Item{Key: key, Value: data})
		d, err := codec.DecodeDecisions(data)
		if err != nil {
			return
		}
		for _, u := range d.Open {
			for account, n := range u.Counts {
				if n <= 0 {
					t.Errorf("%d calls of account %q", n, account)
				}
			}
		}
		for _, h := range d.Carry {
			if len(h.Usages) != 1 {
				t.Errorf("carried counts of %d windows", len(h.Usages))
			}
		}
	})
}
