package pool_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/credit"
	"github.com/balsamvale/balsamvale/pkg/calls/report"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// restarted returns the configuration of an upstream that has started again under its name and address.
func restarted() *svcfg.Config {
	cfg := announcedConfig(1, 1, 0)
	cfg.Targets[0].Upstream.Incarnation = 8
	return cfg
}

// An upstream may start again under its name and address. What was known of the earlier incarnation must neither keep calls
// away from the new one nor be used for it.
var _ = Describe("An upstream that has started again", func() {
	later := start.Add(100 * time.Millisecond)
	for _, tc := range []struct {
		name   string
		before func(p *pool.Pool)
		after  func(p *pool.Pool)
	}{
		{"after it had drained", func(p *pool.Pool) {
			p.RecordProbe(start, "up-0", &result.Result{Report: &report.Report{Draining: true}})
		}, func(*pool.Pool) {}},
		{"after another entry had seen it drain", func(p *pool.Pool) {
			p.Merge(start, fact.Fact{Topic: topic.Draining, Subject: "up-0", Value: 7, Until: start.Add(time.Minute)})
		}, func(*pool.Pool) {}},
		{"before another entry says that the earlier incarnation drains", func(*pool.Pool) {}, func(p *pool.Pool) {
			p.Merge(later, fact.Fact{Topic: topic.Draining, Subject: "up-0", Value: 7, Until: later.Add(time.Minute)})
		}},
	} {
		It("gets calls: "+tc.name, func() {
			p := newPool(announcedConfig(1, 1, 0))
			tc.before(p)
			p.Install(later, restarted())
			tc.after(p)
			Expect(p.Pick(later, newCall(), nil, nil).Stage).To(Equal(stage.Send))
		})
	}

	It("gets no call on a credit of the earlier incarnation", func() {
		cfg := announcedConfig(1, 1, 0)
		cfg.Service.ColdRate, cfg.Targets[0].ColdUntil = 0, start.Add(time.Minute)
		p := newPool(cfg)
		p.AddCredits(start, "up-0", 7, []credit.Credit{{ID: 1, Until: start.Add(time.Minute)}})
		next := restarted()
		next.Service.ColdRate, next.Targets[0].ColdUntil = 0, start.Add(time.Minute)
		p.Install(later, next)
		Expect(p.Pick(later, newCall(), nil, nil).Stage).NotTo(Equal(stage.Send))
	})

	It("is not taken for the earlier incarnation by a late report of that one", func() {
		p := newPool(announcedConfig(1, 1, 0))
		p.RecordProbe(start, "up-0", &result.Result{Report: &report.Report{Incarnation: 7, Uptime: time.Minute}})
		p.Install(later, restarted())
		p.RecordProbe(later, "up-0", &result.Result{Report: &report.Report{Incarnation: 7, Uptime: time.Minute + 100*time.Millisecond, Draining: true}})
		Expect(p.Pick(later, newCall(), nil, nil).Stage).To(Equal(stage.Send))
	})
})

var _ = Describe("A choice", func() {
	It("keeps its target when a new configuration is installed", func() {
		p := newPool(announcedConfig(1, 1, 0))
		ch := p.Pick(start, newCall(), nil, nil)
		before := *ch.Target
		next := restarted()
		next.Targets[0].Version = "v2"
		p.Install(start.Add(time.Second), next)
		Expect(*ch.Target).To(Equal(before))
	})
})

// If all new upstreams of a service got their first call of an entry at the same moment, that entry would go first at each.
var _ = Describe("New cold upstreams", func() {
	It("get their first calls of one entry at different times", func() {
		first := map[time.Duration]bool{}
		for i := range 20 {
			cfg := announcedConfig(1, 100, 0)
			cfg.Targets[0].Name = fmt.Sprint("new-", i)
			cfg.Targets[0].ColdUntil = start.Add(10 * time.Second)
			p := newPool(cfg)
			for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
				c := newCall()
				c.Deadline = start.Add(at + time.Second)
				if p.Pick(start.Add(at), c, nil, nil).Stage == stage.Send {
					first[at] = true
					break
				}
			}
		}
		Expect(len(first)).To(BeNumerically(">", 10))
	})
})
