package plan_test

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/soak/plan"
)

// changeLasts is how long the removal after a loss of contact lasts.
const changeLasts = 6500 * time.Millisecond

var _ = Describe("Draw", func() {
	It("draws the same faults from the same seed, and others from another one", func() {
		a, b, c := plan.Draw(7, 3, time.Minute), plan.Draw(7, 3, time.Minute), plan.Draw(8, 3, time.Minute)
		Expect(a).To(Equal(b))
		Expect(a.Fault).NotTo(Equal(c.Fault))
	})

	// The seeds of the continuous integration and of KNOWN-RED.txt name runs by what they play.
	for _, tc := range []struct {
		name         string
		first, count uint64
		digest       string
	}{
		{"no growing fleet", 0, 200, "e40bdac18e32eeef9ca86a4b1fa926247887483fd5c1028023c2d9d42b6be84f"},
		{"a growing fleet", plan.FirstGrowing, 50, "d0065540eaa8aa662cbcc600a238ca070abe7124023531a57a25eae2552553bd"},
	} {
		It("draws what it always drew from the seeds with "+tc.name, func() {
			h := sha256.New()
			for seed := range tc.count {
				text, err := plan.Draw(tc.first+seed, 3, 12*time.Second).Text()
				Expect(err).NotTo(HaveOccurred())
				_, _ = h.Write([]byte(text))
			}
			Expect(hex.EncodeToString(h.Sum(nil))).To(Equal(tc.digest))
		})
	}

	It("stays within the bounds, and draws each kind within 50 seeds", func() {
		drawn := map[string]bool{}
		for seed := range uint64(50) {
			for _, f := range plan.Draw(seed, 3, 20*time.Second).Fault {
				drawn[f.Kind.String()] = true
				Expect(time.Duration(f.At)).To(BeNumerically(">=", 2*time.Second))
				if time.Duration(f.Lasts) != changeLasts {
					Expect(time.Duration(f.Lasts)).To(BeNumerically("<", 4*time.Second))
				}
				Expect(f.Target).To(BeNumerically(">=", 0))
				if f.Kind.HitsEntries() {
					Expect(f.Target).To(BeNumerically("<", 3))
				}
			}
		}
		Expect(drawn).To(HaveLen(34))
	})
})

var _ = Describe("a growing fleet", func() {
	const length = 12 * time.Second
	grownBytes := func(f plan.Fault) float64 {
		switch f.Kind {
		case plan.GrowRecords:
			return f.Share * plan.GrownBytes
		case plan.SwellRecords:
			return f.Share * plan.SwollenRecords * 1024
		}
		return 0
	}

	It("is in each seed from the first on, with each of its kinds within 50 seeds, and alone in half of them", func() {
		drawn, alone := map[string]bool{}, 0
		for seed := range uint64(50) {
			mixed := false
			for _, f := range plan.Draw(plan.FirstGrowing+seed, 3, length).Fault {
				drawn[f.Kind.String()] = true
				mixed = mixed || f.Kind == plan.Pause || f.Kind.HitsUpstreams() || f.Kind.HitsRecords() && !f.Kind.Grows()
				Expect(time.Duration(f.At)).To(BeNumerically(">", 0))
				Expect(time.Duration(f.At)).To(BeNumerically("<", length))
			}
			if !mixed {
				alone++
			}
		}
		Expect(alone).To(BeNumerically(">=", 25))
		for k := plan.LateRecords; k <= plan.StoreMute; k++ {
			Expect(k.Grows()).To(BeTrue())
			Expect(drawn).To(HaveKey(k.String()))
		}
	})

	It("is a store that comes back from an older copy in each seed from the first of those on, with each of its crossings", func() {
		drawn, twice := map[string]bool{}, 0
		for seed := range uint64(50) {
			restored := 0
			for _, f := range plan.Draw(plan.FirstRestoring+seed, 3, length).Fault {
				drawn[f.Kind.String()] = true
				Expect(time.Duration(f.At)).To(BeNumerically("<", length))
				if f.Kind == plan.StoreRestore {
					restored++
				}
			}
			Expect(restored).To(BeNumerically(">", 0))
			if restored > 1 {
				twice++
			}
		}
		Expect(twice).To(BeNumerically(">", 5))
		for _, k := range []plan.Kind{plan.Remove, plan.StoreDown, plan.Kill, plan.Stop, plan.OneWayStore, plan.ResetStore} {
			Expect(drawn).To(HaveKey(k.String()))
		}
	})

	// An entry with a limited link can have a change in force in time only if the link carries the whole configuration in less.
	It("grows by what limited links carry within 3 s", func() {
		for seed := range uint64(200) {
			rate, bytes, starts := 0.0, 0.0, 0
			for _, f := range plan.Draw(plan.FirstGrowing+seed, 3, length).Fault {
				if f.Kind == plan.LimitStore || f.Kind == plan.LimitPeers {
					rate = f.Share
				}
				bytes += grownBytes(f)
				if f.Kind == plan.Kill || f.Kind == plan.Stop || f.Kind == plan.AddEntries || f.Kind == plan.RemoveEntry {
					starts++
				}
			}
			Expect(rate).To(BeNumerically(">", 0))
			Expect(bytes).To(BeNumerically(">", 0))
			Expect(bytes / rate).To(BeNumerically("<", 3))
			Expect(starts).To(BeNumerically(">=", 2))
		}
	})
})

var _ = Describe("a loss of contact", func() {
	It("is in every second seed, and removals follow that outlast their bound", func() {
		for seed := range uint64(50) {
			var lost []int
			var changes int
			for _, f := range plan.Draw(seed, 3, 12*time.Second).Fault {
				if f.Share == 1 && f.Kind >= plan.SilentStore && f.Kind <= plan.OneWayStore && f.Kind.HitsEntries() {
					lost = append(lost, f.Target)
				}
				if time.Duration(f.Lasts) == changeLasts {
					changes++
					Expect(f.Kind).To(Equal(plan.Remove))
				}
			}
			Expect(changes).To(Equal(6 * int(seed%2)))
			if seed%2 == 1 {
				Expect(len(lost)).To(BeNumerically(">=", 2))
			}
		}
	})
})

var _ = Describe("a failure of all upstreams", func() {
	It("is in every second seed", func() {
		for seed := range uint64(50) {
			hit := map[plan.Kind]map[int]bool{}
			for _, f := range plan.Draw(seed, 3, 12*time.Second).Fault {
				if f.Domain && f.Kind.HitsUpstreams() && seed%2 == 1 {
					if hit[f.Kind] == nil {
						hit[f.Kind] = map[int]bool{}
					}
					hit[f.Kind][f.Target] = true
				}
			}
			all := false
			for _, domains := range hit {
				all = all || len(domains) == 3
			}
			Expect(all).To(Equal(seed%2 == 1))
		}
	})
})

var _ = Describe("few descriptors", func() {
	It("come with more idle callers than descriptors", func() {
		seen := 0
		for seed := range uint64(50) {
			faults := plan.Draw(seed, 3, 20*time.Second).Fault
			for _, limit := range faults {
				if limit.Kind != plan.FewFiles {
					continue
				}
				seen++
				Expect(faults).To(ContainElement(And(HaveField("Kind", plan.IdleCallers), HaveField("Target", limit.Target),
					HaveField("Domain", limit.Domain), HaveField("At", BeNumerically(">", limit.At)), HaveField("Share", BeNumerically(">", limit.Share)))))
			}
		}
		Expect(seen).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a plan as text", func() {
	It("is read as it was written", func() {
		p := plan.Draw(7, 3, 30*time.Second)
		text, err := p.Text()
		Expect(err).NotTo(HaveOccurred())
		read, err := plan.Parse([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(p))
	})

	for _, tc := range []struct{ name, text string }{
		{"no size", "Length = '3s'"}, {"no length", "Size = 3"}, {"an unknown kind", "Size = 3\nLength = '3s'\n[[Fault]]\nKind = 'rain'"},
		{"an invalid duration", "Size = 3\nLength = 'long'"},
	} {
		It("is refused with "+tc.name, func() {
			_, err := plan.Parse([]byte(tc.text))
			Expect(err).To(MatchError(plan.ErrPlan))
		})
	}

	It("loses one fault without changing the original", func() {
		p := plan.Draw(7, 3, 30*time.Second)
		before, second := len(p.Fault), p.Fault[1]
		Expect(p.Without(0).Fault).To(HaveLen(before - 1))
		Expect(p.Without(0).Fault[0]).To(Equal(second))
		Expect(p.Fault).To(HaveLen(before))
	})

	It("is valid in each regression case", func() {
		files, err := filepath.Glob("../../../testdata/soak/*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, f := range files {
			data, err := os.ReadFile(f)
			Expect(err).NotTo(HaveOccurred())
			_, err = plan.Parse(data)
			Expect(err).NotTo(HaveOccurred(), f)
		}
	})
})
