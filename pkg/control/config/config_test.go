package config_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/pkg/control/config"
	"github.com/balsamvale/balsamvale/pkg/records/defect"
	"github.com/balsamvale/balsamvale/pkg/records/domrec"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/split"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/share"
	"github.com/balsamvale/balsamvale/pkg/stored/batch"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

var start = time.Unix(1000, 0)

// fixture applies values to a configuration, by store keys that the test chooses.
type fixture struct {
	config   *config.Config
	values   map[string]value.Value
	revision revno.Revision
}

func newFixture() *fixture {
	f := &fixture{values: map[string]value.Value{}}
	f.config = config.New("e", "za", func(it item.Item) (value.Value, error) {
		v, ok := f.values[string(it.Value)]
		if !ok {
			return value.Value{}, eris.New("broken")
		}
		return v, nil
	})
	return f
}

func (f *fixture) put(now time.Time, key string, v value.Value) {
	f.revision++
	f.values[key] = v
	f.config.Apply(now, item.Item{Key: key, Value: []byte(key), Revision: f.revision}, true)
}

func (f *fixture) remove(now time.Time, key string) {
	f.revision++
	f.config.Apply(now, item.Item{Key: key, Tombstone: true, Revision: f.revision}, true)
}

func upstream(warmup time.Duration) value.Value {
	return value.Value{Record: &record.Record{Upstream: &upsrec.Upstream{
		Name: "u", Service: "s", Domain: "zb", Version: "v1", Incarnation: 7, Warmup: warmup,
	}}}
}

func service() value.Value {
	return value.Value{Record: &record.Record{Service: &svcrec.Service{Name: "s", Slots: 4, ColdRate: 18, Warmup: 3 * time.Second}}}
}

var _ = Describe("Shares of a rollout", func() {
	never, always := func(string) bool { return false }, func(string) bool { return true }
	for _, tc := range []struct {
		name       string
		progress   *progrs.Progress
		rolledBack func(string) bool
		permille   int
		analyzed   bool
	}{
		{"that is planned", nil, never, 0, true},
		{"under way", &progrs.Progress{Rollout: "m", Permille: 150, Phase: phase.Shifting}, never, 150, true},
		{"under way that an entry has rolled back", &progrs.Progress{Rollout: "m", Permille: 150, Phase: phase.Shifting}, always, 0, true},
		{"rolled back", &progrs.Progress{Rollout: "m", Permille: 150, Phase: phase.RolledBack}, never, 0, false},
		{"done", &progrs.Progress{Rollout: "m", Permille: 1000, Phase: phase.Done}, never, 1000, false},
		{"done, after which an entry reports it as rolled back", &progrs.Progress{Rollout: "m", Permille: 1000, Phase: phase.Done}, always, 1000, false},
	} {
		It(tc.name, func() {
			f := newFixture()
			f.put(start, "s", service())
			f.put(start, "m", value.Value{Record: &record.Record{Rollout: &rolrec.Rollout{Name: "m", Service: "s", To: "v2", Duration: 10 * time.Second}}})
			if tc.progress != nil {
				f.put(start, "p", value.Value{Progress: tc.progress})
			}
			cfg := f.config.ServiceConfig("s", tc.rolledBack)
			Expect(cfg.Shares).To(Equal([]share.Share{{Version: "", Permille: 1000 - tc.permille}, {Version: "v2", Permille: tc.permille}}))
			Expect(cfg.Rollout != "").To(Equal(tc.analyzed))
		})
	}

	It("keep the first start of the rollout when the entry restarts", func() {
		f := newFixture()
		f.put(start, "p", value.Value{Progress: &progrs.Progress{Rollout: "m", Permille: 20, Phase: phase.Shifting, Start: start}})
		f.put(start.Add(5*time.Second), "m", value.Value{Record: &record.Record{Rollout: &rolrec.Rollout{Name: "m", Service: "s", To: "v2", Duration: 10 * time.Second}}})
		Expect(f.config.Rollouts["m"].Start).To(Equal(start))
		Expect(f.config.Rollouts["m"].Deadline).To(Equal(start.Add(10 * time.Second)))
	})
})

var _ = Describe("Upstreams that announce themselves", func() {
	cold := func(f *fixture, now time.Time) bool {
		cfg := f.config.ServiceConfig("s", func(string) bool { return false })
		return len(cfg.Targets) == 1 && cfg.Targets[0].ColdUntil.After(now)
	}
	for _, tc := range []struct {
		name  string
		apply func(f *fixture)
		// present and cold are expected 3 s after the start.
		present, cold bool
	}{
		{"are warm when they say so", func(f *fixture) { f.put(start, "u", upstream(0)) }, true, false},
		{"are cold for as long as they say", func(f *fixture) { f.put(start, "u", upstream(4*time.Second)) }, true, true},
		{"are removed at once with their key", func(f *fixture) {
			f.put(start, "u", upstream(0))
			f.remove(start, "u")
		}, false, false},
		{"are removed at once when their announcement cannot be decoded", func(f *fixture) {
			f.put(start, "u", upstream(0))
			delete(f.values, "u")
			f.config.Apply(start, item.Item{Key: "u", Value: []byte("u"), Revision: 99}, true)
		}, false, false},
		{"stay until removals are no longer deferred after an outage of the store", func(f *fixture) {
			f.put(start, "u", upstream(0))
			f.config.DeferRemovals(start.Add(4 * time.Second))
			f.remove(start.Add(2*time.Second), "u")
			f.config.ApplyDeferred(start.Add(3 * time.Second))
		}, true, false},
		{"are removed if they are still missing then", func(f *fixture) {
			f.put(start, "u", upstream(0))
			f.config.DeferRemovals(start.Add(2 * time.Second))
			f.remove(start.Add(time.Second), "u")
			f.config.ApplyDeferred(start.Add(3 * time.Second))
		}, false, false},
		{"stay if they are announced again by then", func(f *fixture) {
			f.put(start, "u", upstream(0))
			f.config.DeferRemovals(start.Add(2 * time.Second))
			f.remove(start.Add(time.Second), "u")
			f.put(start.Add(1500*time.Millisecond), "u", upstream(0))
			f.config.ApplyDeferred(start.Add(3 * time.Second))
		}, true, false},
		{"are removed when they were first due, although another outage defers removals", func(f *fixture) {
			f.put(start, "u", upstream(0))
			f.config.DeferRemovals(start.Add(2 * time.Second))
			f.remove(start.Add(time.Second), "u")
			f.config.DeferRemovals(start.Add(4 * time.Second))
			f.remove(start.Add(1500*time.Millisecond), "u")
			f.config.ApplyDeferred(start.Add(2 * time.Second))
		}, false, false},
		{"are cold when their failure domain is restored", func(f *fixture) {
			f.put(start, "u", upstream(0))
			f.put(start, "d", value.Value{Record: &record.Record{Domain: &domrec.Domain{Name: "zb", Drained: true}}})
			f.remove(start.Add(2*time.Second), "d")
		}, true, true},
	} {
		It(tc.name, func() {
			f := newFixture()
			f.put(start, "s", service())
			tc.apply(f)
			now := start.Add(3 * time.Second)
			Expect(f.config.Upstreams).To(HaveLen(map[bool]int{true: 1, false: 0}[tc.present]))
			Expect(cold(f, now)).To(Equal(tc.cold))
		})
	}
})

// Operators could not see that a part of what they had written was not in force.
var _ = Describe("What is not in force", func() {
	flawed := value.Value{Batch: &batch.Batch{Records: []*record.Record{service().Record}, Defects: []defect.Defect{
		{Key: "k", Field: "a", Value: "-1", Problem: "out of bounds", Effect: "refused"}, {Key: "k", Field: "b"},
	}}}
	for _, tc := range []struct {
		name  string
		apply func(f *fixture)
		keys  []string
	}{
		{"lists nothing at first", func(*fixture) {}, nil},
		{"lists each defect", func(f *fixture) { f.put(start, "set", flawed) }, []string{"set", "set"}},
		{"lists the defects of a batch that replaced another", func(f *fixture) {
			f.put(start, "set", flawed)
			f.put(start, "set", flawed)
		}, []string{"set", "set"}},
		{"lists nothing of a batch that was replaced", func(f *fixture) {
			f.put(start, "set", flawed)
			f.put(start, "set", value.Value{Batch: &batch.Batch{}})
		}, nil},
		{"lists nothing of a batch that was removed", func(f *fixture) {
			f.put(start, "set", flawed)
			f.remove(start, "set")
		}, nil},
		{"lists rejected items too", func(f *fixture) {
			f.put(start, "set", flawed)
			f.config.Apply(start, item.Item{Key: "move", Value: []byte("?"), Revision: 9}, true)
		}, []string{"move", "set", "set"}},
	} {
		It(tc.name, func() {
			f := newFixture()
			tc.apply(f)
			var got []string
			for _, r := range f.config.NotInForce() {
				got = append(got, r.Key)
			}
			Expect(got).To(Equal(tc.keys))
			Expect(f.config.CountNotInForce()).To(Equal(len(tc.keys)))
		})
	}

	It("says what is wrong with a part, and what it costs", func() {
		f := newFixture()
		f.put(start, "set", flawed)
		Expect(f.config.NotInForce()[0].Err).To(MatchError("k: a is -1, out of bounds: refused"))
		Expect(f.config.NotInForce()[0].Revision).To(Equal(revno.Revision(1)))
	})
})

var _ = Describe("A batch of records", func() {
	It("replaces the one before it as a whole", func() {
		f := newFixture()
		rule := func(name, path, service string) *record.Record {
			return &record.Record{Rule: &rulrec.Rule{Name: name, Host: "h", Path: path, Splits: []split.Split{{Service: service, Weight: 1}}}}
		}
		f.put(start, "set", value.Value{Batch: &batch.Batch{Records: []*record.Record{service().Record, rule("a", "/a/", "s"), rule("b", "/", "s")}}})
		Expect(f.config.Rules().Find("h", "/a/x").Name).To(Equal("a"))
		f.put(start, "set", value.Value{Batch: &batch.Batch{Records: []*record.Record{service().Record, rule("b", "/", "t")}}})
		Expect(f.config.Rules().Find("h", "/a/x").Splits[0].Service).To(Equal("t"))
		Expect(f.config.Rules().Len()).To(Equal(1))
	})
	// Of the rules that share a name, the last one alone was in force: calls for the others were ended with 404.
	for _, names := range [][2]string{{"a", "b"}, {"a", "a"}, {"", ""}} {
		It(fmt.Sprintf("puts all its rules in force: %q", names), func() {
			f := newFixture()
			rules := func(paths ...string) value.Value {
				b := &batch.Batch{Records: []*record.Record{service().Record}}
				for i, p := range paths {
					b.Records = append(b.Records, &record.Record{Rule: &rulrec.Rule{Name: names[i], Host: "h", Path: p, Splits: []split.Split{{Service: "s", Weight: 1}}}})
				}
				return value.Value{Batch: b}
			}
			f.put(start, "set", rules("/x/", "/y/"))
			Expect(f.config.Rules().Find("h", "/x/a")).NotTo(BeNil())
			Expect(f.config.Rules().Find("h", "/y/a")).NotTo(BeNil())
			f.put(start, "set", rules("/y/"))
			Expect(f.config.Rules().Find("h", "/x/a")).To(BeNil())
			Expect(f.config.Rules().Find("h", "/y/a")).NotTo(BeNil())
			f.remove(start, "set")
			Expect(f.config.Rules()).To(BeNil())
		})
	}
})
