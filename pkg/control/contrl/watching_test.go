package contrl_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/contrl"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/control/shard"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// countWatches returns how often the watcher among a number of entries watches a store in which a key changes every 20 ms, in
// 30 s.
func countWatches(entries int) int {
	decode := func(it item.Item) (value.Value, error) {
		return value.Value{Member: &member.Member{Name: strings.TrimPrefix(it.Key, keys.MemberPrefix)}}, nil
	}
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprint("e", i))
	}
	first := slices.IndexFunc(names, func(name string) bool { return shard.Shard(0).Rank(names, name) == 0 })
	now := time.Unix(1000, 0)
	c := contrl.New(member.Member{Name: names[first]}, rand.New(rand.NewPCG(1, 1)), decode)
	revision, watches := revno.Revision(entries), 0
	var pending []kvreq.Request
	for end := now.Add(30 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		revision++
		events := []event.Event{{Kind: evkind.Tick}}
		for _, r := range pending {
			resp := kvresp.Response{ID: r.ID, Applied: true, Revision: revision}
			switch r.Op {
			case kvop.List:
				for i, name := range names {
					resp.Items = append(resp.Items, item.Item{Key: keys.Member(name), Revision: revno.Revision(i + 1)})
				}
			case kvop.Watch:
				watches++
				resp.Items = []item.Item{{Key: keys.Record("upstream", "u"), Revision: revision}}
			case kvop.Lease:
				resp.LeaseID = 1
			}
			events = append(events, event.Event{Kind: evkind.StoreResponse, Response: resp})
		}
		pending = nil
		for _, ev := range events {
			for _, e := range c.Step(now, ev) {
				if e.Action == action.CallStore {
					pending = append(pending, e.Request)
				}
			}
		}
	}
	return watches
}

// Load pattern: the store changes all the time, as servers of a large fleet come and go. The calls of all watchers together must
// not grow with the number of watchers, which grows with the fleet.
var _ = Describe("The watchers of a fleet", func() {
	for _, entries := range []int{12, 118, 300} {
		It(fmt.Sprintf("together watch no more often for %d entries than four do", entries), func() {
			const seconds, slack = 30, 1.2
			watchers := tune.MinWatchers + entries/tune.EntriesPerWatcher
			most := float64(seconds*tune.MinWatchers) / tune.WatchPause.Seconds() * slack
			watches := countWatches(entries)
			Expect(watches).To(BeNumerically(">", seconds))
			Expect(float64(watchers * watches)).To(BeNumerically("<=", most))
		})
	}
})
