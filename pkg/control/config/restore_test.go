package config_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/pkg/control/config"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/records/domrec"
	"github.com/balsamvale/balsamvale/pkg/records/record"
	"github.com/balsamvale/balsamvale/pkg/records/rolrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/batch"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
	"github.com/balsamvale/balsamvale/pkg/stored/progrs"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// decodeText decodes the items of these tests: a value is a few words that depend on the kind of the key.
func decodeText(it item.Item) (value.Value, error) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(it.Key, keys.ControlPrefix), "rec/"), "/")
	text := string(it.Value)
	switch kind {
	case "set":
		b := &batch.Batch{}
		_, err := fmt.Sscan(text, &b.Version)
		return value.Value{Batch: b}, err
	case "upstream":
		u := &upsrec.Upstream{Name: name, Service: "s"}
		_, err := fmt.Sscan(text, &u.Incarnation, &u.Sequence, &u.Drain)
		return value.Value{Record: &record.Record{Upstream: u}}, err
	case "domain":
		return value.Value{Record: &record.Record{Domain: &domrec.Domain{Name: name, Drained: text == "drained"}}}, nil
	case "request":
		r := &rolrec.Rollout{Name: fmt.Sprint(name, "/", it.Revision.Number()), Service: name, To: text, Duration: time.Minute}
		return value.Value{Record: &record.Record{Rollout: r}}, nil
	case "member":
		return value.Value{Member: &member.Member{Name: name}}, nil
	case "move":
		p := &progrs.Progress{Rollout: name, Phase: phase.Shifting, Start: start}
		var at int64
		var end string
		_, err := fmt.Sscan(text, &p.Permille, &at, &end)
		switch end {
		case "done":
			p.Phase, err = phase.Done, nil
		case "reverted":
			p.Phase, err = phase.RolledBack, nil
		case "":
			err = nil
		}
		p.SteppedAt = start.Add(time.Duration(at) * time.Second)
		return value.Value{Progress: p}, err
	}
	return value.Value{}, eris.New("unknown key")
}

// stored returns an item of an era; one without a value is a tombstone.
func stored(era, number int64, key, text string) item.Item {
	return item.Item{Key: keys.ControlPrefix + key, Value: []byte(text), Revision: revno.New(era, number), Tombstone: text == ""}
}

// inForce describes what a configuration has in force.
func inForce(c *config.Config) string {
	out := []string{fmt.Sprint("version ", c.Version)}
	for _, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		out = append(out, fmt.Sprintf("upstream %s drained %v", name, c.Upstreams[name].Drain))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Domains)) {
		out = append(out, fmt.Sprintf("domain %s drained %v", name, c.Domains[name].Drained))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Rollouts)) {
		share := 0
		if p := c.Progress[name]; p != nil {
			share = p.Permille
		}
		out = append(out, fmt.Sprintf("rollout %s at %d", name, share))
	}
	return strings.Join(append(out, slices.Sorted(maps.Keys(c.Members))...), ", ")
}

// What was acknowledged in the seconds that the store has lost, and is written again, must not step back to the copy and forward.
var _ = Describe("The configuration after the store was restored from an older copy", func() {
	// The copy is of revision 50, and the first list of the new era of revision 52.
	const list = 52
	for _, tc := range []struct {
		name string
		// before are items of era 1, copied those in the first list of era 2 or tombstones of what it lacks, and news what follows.
		before, copied, news []item.Item
		// want is in force after the news, late once what does not tell which is newer gives way to the copy, and end once all does; empty
		// for the same as before.
		want, late, end string
	}{
		{"keeps the version, until nobody has written it again",
			[]item.Item{stored(1, 60, "rec/set/", "8")}, []item.Item{stored(2, 40, "rec/set/", "7")}, nil, "version 8", "", "version 7"},
		{"keeps the version while lost ones are written again in order",
			[]item.Item{stored(1, 60, "rec/set/", "8")}, []item.Item{stored(2, 40, "rec/set/", "6")}, []item.Item{stored(2, 53, "rec/set/", "7")}, "version 8", "", "version 7"},
		{"has a version that is written again in force for good",
			[]item.Item{stored(1, 60, "rec/set/", "8")}, []item.Item{stored(2, 40, "rec/set/", "7")}, []item.Item{stored(2, 53, "rec/set/", "8")}, "version 8", "", ""},
		{"keeps a version that the copy lacks",
			[]item.Item{stored(1, 60, "rec/set/", "8")}, []item.Item{stored(2, list, "rec/set/", "")}, nil, "version 8", "", "version 0"},
		{"does not delay a further version",
			[]item.Item{stored(1, 60, "rec/set/", "8")}, []item.Item{stored(2, 40, "rec/set/", "7")}, []item.Item{stored(2, 53, "rec/set/", "9")}, "version 9", "", ""},
		{"does not delay a further version in the first list",
			[]item.Item{stored(1, 60, "rec/set/", "8")}, []item.Item{stored(2, 51, "rec/set/", "9")}, nil, "version 9", "", ""},
		{"keeps an upstream drained that the copy has ready",
			[]item.Item{stored(1, 60, "rec/upstream/u", "5 8 true")}, []item.Item{stored(2, 40, "rec/upstream/u", "5 6 false")}, nil,
			"version 0, upstream u drained true", "", "version 0, upstream u drained false"},
		{"does not delay a later announcement",
			[]item.Item{stored(1, 60, "rec/upstream/u", "5 8 false")}, []item.Item{stored(2, 51, "rec/upstream/u", "5 9 true")}, nil,
			"version 0, upstream u drained true", "", ""},
		{"does not delay what an upstream writes after the list, although it does not number it",
			[]item.Item{stored(1, 60, "rec/upstream/u", "5 8 false")}, []item.Item{stored(2, 40, "rec/upstream/u", "5 6 false")},
			[]item.Item{stored(2, 53, "rec/upstream/u", "5 0 true")}, "version 0, upstream u drained true", "", ""},
		{"keeps an upstream out that has left, until the copy has to be believed",
			[]item.Item{stored(1, 40, "rec/upstream/u", "5 6 false"), stored(1, 60, "rec/upstream/u", "")}, []item.Item{stored(2, 40, "rec/upstream/u", "5 6 false")}, nil,
			"version 0", "", "version 0, upstream u drained false"},
		{"keeps an upstream out whose removal is written again",
			[]item.Item{stored(1, 40, "rec/upstream/u", "5 6 false"), stored(1, 60, "rec/upstream/u", "")}, []item.Item{stored(2, 40, "rec/upstream/u", "5 6 false")},
			[]item.Item{stored(2, 53, "rec/upstream/u", "")}, "version 0", "", ""},
		{"does not delay an upstream that has left and started again",
			[]item.Item{stored(1, 40, "rec/upstream/u", "5 6 false"), stored(1, 60, "rec/upstream/u", "")}, []item.Item{stored(2, 51, "rec/upstream/u", "7 1 false")}, nil,
			"version 0, upstream u drained false", "", ""},
		{"does not delay the removal of an upstream of the copy",
			[]item.Item{stored(1, 40, "rec/upstream/u", "5 6 false")}, []item.Item{stored(2, 40, "rec/upstream/u", "5 6 false")},
			[]item.Item{stored(2, 53, "rec/upstream/u", "")}, "version 0", "", ""},
		{"keeps an upstream that the copy lacks, until it should have announced itself",
			[]item.Item{stored(1, 60, "rec/upstream/u", "5 6 false")}, []item.Item{stored(2, list, "rec/upstream/u", "")}, nil,
			"version 0, upstream u drained false", "version 0", ""},
		{"keeps a failure domain drained that the copy does not know as drained",
			[]item.Item{stored(1, 60, "rec/domain/z", "drained")}, []item.Item{stored(2, list, "rec/domain/z", "")}, nil, "version 0, domain z drained true", "version 0", ""},
		{"does not keep a failure domain drained that was in use again before the copy",
			[]item.Item{stored(1, 30, "rec/domain/z", "drained"), stored(1, 40, "rec/set/", "7")}, []item.Item{stored(2, 40, "rec/set/", "7"), stored(2, list, "rec/domain/z", "")}, nil, "version 7", "", ""},
		{"keeps upstreams that the copy lacks since their leases are gone",
			[]item.Item{stored(1, 30, "rec/upstream/u", "5 6 false"), stored(1, 40, "rec/set/", "7")}, []item.Item{stored(2, 40, "rec/set/", "7"), stored(2, list, "rec/upstream/u", "")}, nil,
			"version 7, upstream u drained false", "version 7", ""},
		{"keeps a failure domain in use that the copy has drained",
			[]item.Item{stored(1, 40, "rec/domain/z", "drained"), stored(1, 60, "rec/domain/z", "")}, []item.Item{stored(2, 40, "rec/domain/z", "drained")}, nil,
			"version 0", "version 0, domain z drained true", ""},
		{"does not delay a failure domain that is drained anew",
			[]item.Item{stored(1, 40, "rec/domain/z", "drained"), stored(1, 60, "rec/domain/z", "")}, nil, []item.Item{stored(2, 53, "rec/domain/z", "drained")},
			"version 0, domain z drained true", "", ""},
		{"keeps the members, whose leases are gone, until they should be back",
			[]item.Item{stored(1, 40, "member/a", "x")}, []item.Item{stored(2, list, "member/a", "")}, nil, "version 0, a", "version 0", ""},
		{"keeps the share of a rollout",
			[]item.Item{stored(1, 30, "rec/request/s", "v2"), stored(1, 60, "move/s/30", "250 9")}, []item.Item{stored(2, 30, "rec/request/s", "v2"), stored(2, 40, "move/s/30", "40 5")}, nil,
			"version 0, rollout s/30 at 250", "", "version 0, rollout s/30 at 40"},
		{"keeps the share of a rollout that is requested again at another revision",
			[]item.Item{stored(1, 55, "rec/request/s", "v2"), stored(1, 60, "move/s/55", "250 9")}, []item.Item{stored(2, list, "rec/request/s", ""), stored(2, list, "move/s/55", "")},
			[]item.Item{stored(2, 53, "rec/request/s", "v2")}, "version 0, rollout s/53 at 250", "", ""},
	} {
		It(tc.name, func() {
			c := config.New("e", "za", decodeText)
			for _, it := range tc.before {
				c.Apply(start, it, true)
			}
			c.Restored(start, revno.New(2, list), tc.copied)
			for _, it := range slices.Concat(tc.copied, tc.news) {
				c.Apply(start.Add(time.Second), it, true)
			}
			c.ApplyDeferred(start.Add(2 * time.Second))
			Expect(inForce(c)).To(Equal(tc.want))
			if n := len(tc.news); n > 0 && strings.HasPrefix(tc.news[n-1].Key, keys.RecordPrefix) && tc.late == "" && tc.end == "" {
				Expect(c.Revision).To(Equal(tc.news[n-1].Revision), "what is in force")
			}
			c.ApplyDeferred(start.Add(tune.RestoreGrace))
			if tc.late == "" {
				tc.late = tc.want
			}
			Expect(inForce(c)).To(Equal(tc.late))
			c.ApplyDeferred(start.Add(tune.RestoreMemory - time.Second))
			Expect(inForce(c)).To(Equal(tc.late))
			c.ApplyDeferred(start.Add(tune.RestoreMemory))
			if tc.end == "" {
				tc.end = tc.late
			}
			Expect(inForce(c)).To(Equal(tc.end))
		})
	}

	// Guards against an entry that started meanwhile and keeps what a peer kept for longer than the peer, or not as long.
	for _, tc := range []struct {
		name string
		// at is when the entry hears of its peer, older is set if that is of a build whose transitions end after tune.RestoreGrace.
		at    time.Duration
		older bool
		// want is in force then, and late, after tune.RestoreReannounce, tune.RestoreGrace and tune.RestoreMemory.
		want, lapsed, late, end string
	}{
		{"at once", time.Second, false, "version 8, upstream new drained false, domain z drained true, rollout s/55 at 1000",
			"version 8, domain z drained true, rollout s/55 at 1000", "version 8, rollout s/55 at 1000", "version 7"},
		{"after upstreams have lapsed", 3 * time.Second, false, "version 8, domain z drained true, rollout s/55 at 1000", "", "version 8, rollout s/55 at 1000", "version 7"},
		{"late", 20 * time.Second, false, "version 8, rollout s/55 at 1000", "", "", "version 7"},
		{"at once, from a peer of an older build", time.Second, true, "version 8, upstream new drained false, domain z drained true, rollout s/55 at 1000",
			"version 8, domain z drained true, rollout s/55 at 1000", "version 7", "version 7"},
	} {
		It("keeps what a peer keeps for as long: "+tc.name, func() {
			peer, c := config.New("e", "za", decodeText), config.New("f", "za", decodeText)
			for _, it := range []item.Item{
				stored(1, 55, "rec/request/s", "v2"), stored(1, 56, "move/s/55", "1000 9 done"), stored(1, 60, "rec/set/", "8"), stored(1, 61, "rec/domain/z", "drained"), stored(1, 62, "rec/upstream/new", "5 1 false"),
			} {
				peer.Apply(start, it, true)
			}
			copied := []item.Item{stored(2, 40, "rec/set/", "7")}
			peer.Restored(start, revno.New(2, list), copied)
			for _, it := range append(copied, stored(2, list, "rec/request/s", ""), stored(2, list, "move/s/55", ""), stored(2, list, "rec/domain/z", ""), stored(2, list, "rec/upstream/new", "")) {
				peer.Apply(start, it, true)
			}
			c.Apply(start, copied[0], true)
			at := start.Add(tc.at)
			peer.ApplyDeferred(at)
			kept, left, end := peer.Kept(at)
			if tc.older {
				end, left = start.Add(tune.RestoreGrace), nil
			}
			c.Keep(at, end, revno.New(2, list), kept, left)
			want := tc.want
			Expect(inForce(c)).To(Equal(want))
			for _, m := range []struct {
				at   time.Duration
				want string
			}{{tune.RestoreReannounce, tc.lapsed}, {tune.RestoreGrace, tc.late}, {tune.RestoreMemory, tc.end}} {
				if m.want != "" {
					want = m.want
				}
				if m.at > tc.at {
					c.ApplyDeferred(start.Add(m.at))
					Expect(inForce(c)).To(Equal(want), fmt.Sprint("after ", m.at))
				}
			}
		})
	}

	// The rollout must not begin anew at an entry that has heard of its end from a peer alone.
	It("has an order in force that a peer keeps and operators write again", func() {
		peer, c := config.New("e", "za", decodeText), config.New("f", "za", decodeText)
		for _, it := range []item.Item{stored(1, 55, "rec/request/s", "v2"), stored(1, 56, "move/s/55", "1000 9 done")} {
			peer.Apply(start, it, true)
		}
		peer.Restored(start, revno.New(2, list), nil)
		for _, it := range []item.Item{stored(2, list, "rec/request/s", ""), stored(2, list, "move/s/55", "")} {
			peer.Apply(start, it, true)
		}
		at := start.Add(10 * time.Second)
		kept, left, end := peer.Kept(at)
		c.Keep(at, end, revno.New(2, list), kept, left)
		c.Apply(at.Add(time.Second), stored(2, 53, "rec/request/s", "v2"), true)
		Expect(inForce(c)).To(Equal("version 0, rollout s/53 at 1000"))
	})

	// An entry that started meanwhile has the copy in force alone.
	It("takes over what a peer keeps", func() {
		before := []item.Item{
			stored(1, 60, "rec/set/", "8"), stored(1, 40, "rec/upstream/left", "5 6 false"), stored(1, 61, "rec/upstream/left", ""), stored(1, 62, "rec/upstream/new", "5 1 false"),
		}
		copied := []item.Item{stored(2, 40, "rec/set/", "7"), stored(2, 40, "rec/upstream/left", "5 6 false")}
		peer, c := config.New("e", "za", decodeText), config.New("f", "za", decodeText)
		for _, it := range before {
			peer.Apply(start, it, true)
		}
		peer.Restored(start, revno.New(2, list), copied)
		for _, it := range slices.Concat(copied, []item.Item{stored(2, list, "rec/upstream/new", "")}) {
			peer.Apply(start, it, true)
		}
		for _, it := range copied {
			c.Apply(start, it, true)
		}
		kept, left, until := peer.Kept(start.Add(time.Second))
		c.Keep(start.Add(time.Second), until, revno.New(2, list), kept, left)
		Expect(inForce(c)).To(Equal("version 8, upstream new drained false"))
		Expect(inForce(c)).To(Equal(inForce(peer)))
		c.Apply(start.Add(time.Second), stored(2, 53, "rec/set/", "9"), true)
		c.ApplyDeferred(until)
		Expect(inForce(c)).To(Equal("version 9, upstream left drained false"))
	})
})
