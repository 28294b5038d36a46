package pool_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
	"github.com/balsamvale/balsamvale/pkg/calls/report"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// announcedConfig returns a service with n upstreams that announce themselves, as the entry with a rank among several sees it.
func announcedConfig(n, entries, rank int) *svcfg.Config {
	cfg := newConfig(n)
	cfg.Service.ColdRate, cfg.Service.Warmup, cfg.Service.ProbesPerCall, cfg.Service.ProbeRate = 18, 3*time.Second, 3, 48
	cfg.EntryCount, cfg.EntryRank = entries, rank
	for i := range cfg.Targets {
		cfg.Targets[i].Upstream.Incarnation = 7
	}
	return cfg
}

var _ = Describe("A cold upstream of a service with a cold rate", func() {
	// bound is the number of calls from all entries in any one second that the platform allows: 1.5 times the rate and 5 more.
	const bound = 18*1.5 + 5
	for _, tc := range []struct {
		name    string
		entries int
	}{{"one entry", 1}, {"12 entries", 12}, {"17 entries", 17}, {"118 entries", 118}, {"1,000 entries", 1000}} {
		It("gets no more calls than the bound from "+tc.name+" without knowledge of each other", func() {
			pools := make([]*pool.Pool, tc.entries)
			for i := range pools {
				cfg := announcedConfig(1, tc.entries, i)
				pools[i] = pool.New(rand.New(rand.NewPCG(uint64(i), 1)), policy.LeastPredictedWait)
				cfg.Targets[0].ColdUntil = start.Add(3 * time.Second)
				pools[i].Install(start, cfg)
			}
			var sent []time.Time
			for at := start; at.Before(start.Add(3 * time.Second)); at = at.Add(20 * time.Millisecond) {
				for _, p := range pools {
					if ch := p.Pick(at, newCall(), nil, nil); ch.Stage == stage.Send {
						sent = append(sent, at)
						p.Release(at, &ch)
					}
				}
			}
			Expect(sent).NotTo(BeEmpty())
			most := 0
			for i := range sent {
				n := 0
				for j := i; j < len(sent) && sent[j].Sub(sent[i]) < time.Second; j++ {
					n++
				}
				most = max(most, n)
			}
			Expect(most).To(BeNumerically("<=", bound))
		})
	}

	It("is also one that answers again after a failed dial", func() {
		p := newPool(announcedConfig(1, 17, 0))
		pick := func(at time.Time) choice.Choice {
			c := newCall()
			c.Deadline = at.Add(time.Second)
			return p.Pick(at, c, nil, func(choice.Choice) {})
		}
		ch := pick(start)
		Expect(ch.Stage).To(Equal(stage.Send))
		p.RecordResult(start, &ch, &result.Result{Cause: cause.DialFailed})
		p.Release(start, &ch)
		later := start.Add(time.Second)
		ch = pick(later)
		Expect(ch.Stage).To(Equal(stage.Send))
		p.RecordResult(later, &ch, &result.Result{Cause: cause.None})
		p.Release(later, &ch)
		// 17 entries share 18 calls a second: this entry may send one about every 0.94 s.
		Expect(pick(later.Add(100 * time.Millisecond)).Stage).NotTo(Equal(stage.Send))
		p.DispatchWaiting(later.Add(1200 * time.Millisecond))
		Expect(pick(later.Add(2500 * time.Millisecond)).Stage).To(Equal(stage.Send))
	})
})

var _ = Describe("Probing before a call is placed", func() {
	// Noisy neighbors: at any moment, a quarter of the upstreams are four times slower.
	It("finds an upstream that is not slowed down among some that are", func() {
		p := newPool(announcedConfig(17, 17, 0))
		now, slowCalls := start, 0
		for i := range 400 {
			now = now.Add(40 * time.Millisecond)
			isSlow := func(name string) bool { return (int(name[len(name)-1])+i)%4 == 0 }
			c := newCall()
			c.Deadline = now.Add(time.Second)
			probed, _ := p.ProbeCandidates(now, c, nil)
			for _, t := range probed {
				slowdown := 1.0
				if isSlow(t.Name) {
					slowdown = 4
				}
				r := &result.Result{Report: &report.Report{Slots: 4, Slowdown: slowdown}}
				p.RecordProbe(now, t.Name, r)
			}
			ch := p.Pick(now, c, nil, nil)
			Expect(ch.Stage).To(Equal(stage.Send))
			if isSlow(ch.Target.Name) {
				slowCalls++
			}
			p.Release(now.Add(60*time.Millisecond), &ch)
		}
		// Without probes, one in four calls would go to a slow upstream.
		Expect(slowCalls).To(BeNumerically("<=", 400/20))
	})

	It("keeps to the probe rate of each upstream", func() {
		cfg := announcedConfig(3, 1, 0)
		cfg.Service.ProbeRate = 10
		p := newPool(cfg)
		probes := map[string]int{}
		for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(10 * time.Millisecond) {
			c := newCall()
			c.Deadline = now.Add(time.Second)
			targets, _ := p.ProbeCandidates(now, c, nil)
			for _, t := range targets {
				probes[t.Name]++
			}
		}
		for _, n := range probes {
			Expect(n).To(BeNumerically("<=", 10*(60+8)+1))
		}
	})

	It("uses a bounded number of other upstreams when those of its subset are down", func() {
		p := newPool(announcedConfig(165, 118, 0))
		down, used := map[string]bool{}, map[string]bool{}
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(20 * time.Millisecond) {
			c := newCall()
			c.Deadline = now.Add(time.Second)
			ch := p.Pick(now, c, nil, nil)
			Expect(ch.Stage).To(Equal(stage.Send))
			r := &result.Result{Cause: cause.None, Latency: time.Millisecond}
			if len(down) < 2*tune.SubsetSize {
				down[ch.Target.Name] = true
			}
			if down[ch.Target.Name] {
				r.Cause = cause.DialFailed
			} else {
				used[ch.Target.Name] = true
			}
			p.RecordResult(now, &ch, r)
			p.Release(now, &ch)
		}
		Expect(len(used)).To(BeNumerically("<=", 2*tune.SubsetSize))
		Expect(used).NotTo(BeEmpty())
	})

	for _, tc := range []struct {
		upstreams, most int
	}{{3, 3}, {24, 24}, {25, 12}, {165, 12}} {
		It("probes a bounded number of upstreams", func() {
			p := newPool(announcedConfig(tc.upstreams, 118, 0))
			seen := map[string]bool{}
			for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(20 * time.Millisecond) {
				c := newCall()
				c.Deadline = now.Add(time.Second)
				targets, _ := p.ProbeCandidates(now, c, nil)
				for _, t := range targets {
					seen[t.Name] = true
				}
			}
			Expect(len(seen)).To(BeNumerically("<=", tc.most))
			Expect(seen).NotTo(BeEmpty())
		})
	}
})
