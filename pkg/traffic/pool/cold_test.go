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

// announcedFleet is a fleet as one of several entries sees it, whose upstreams announce themselves.
func announcedFleet(n, entries, rank int) *svcfg.Config {
	f := newFleet(n)
	f.Service.ColdRate, f.Service.Warmup, f.Service.ProbesPerCall, f.Service.ProbeRate = 18, 3*time.Second, 3, 48
	f.EntryCount, f.EntryRank = entries, rank
	for i := range f.Targets {
		f.Targets[i].Upstream.Incarnation = 7
	}
	return f
}

var _ = Describe("A cold upstream with a rate", func() {
	// The bound of the users' platform: 1.5 times the rate and 5 more, in any second, over all entries.
	const bound = 18*1.5 + 5
	for _, tc := range []struct {
		name    string
		entries int
	}{{"one entry", 1}, {"12 entries", 12}, {"17 entries", 17}, {"118 entries", 118}, {"1,000 entries", 1000}} {
		It("gets no more than it bears from "+tc.name+" that cannot see each other", func() {
			pools := make([]*pool.Pool, tc.entries)
			for i := range pools {
				f := announcedFleet(1, tc.entries, i)
				pools[i] = pool.New(rand.New(rand.NewPCG(uint64(i), 1)), policy.LeastPredictedWait)
				f.Targets[0].ColdUntil = start.Add(3 * time.Second)
				pools[i].Install(start, f)
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

	It("is one that answers again after it could not be reached", func() {
		p := newPool(announcedFleet(1, 17, 0))
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
		// 17 entries share 18 calls a second.
		Expect(pick(later.Add(100 * time.Millisecond)).Stage).NotTo(Equal(stage.Send))
		p.DispatchWaiting(later.Add(1200 * time.Millisecond))
		Expect(pick(later.Add(2500 * time.Millisecond)).Stage).To(Equal(stage.Send))
	})
})

var _ = Describe("Asking before a call is placed", func() {
	// Noisy neighbours: a quarter of the upstreams work four times slower at any moment.
	It("finds an undisturbed upstream among noisy ones", func() {
		p := newPool(announcedFleet(17, 17, 0))
		now, slow := start, 0
		for i := range 400 {
			now = now.Add(40 * time.Millisecond)
			noisy := func(name string) bool { return (int(name[len(name)-1])+i)%4 == 0 }
			c := newCall()
			c.Deadline = now.Add(time.Second)
			asked, _ := p.ProbeCandidates(now, c, nil)
			for _, t := range asked {
				pace := 1.0
				if noisy(t.Name) {
					pace = 4
				}
				r := &result.Result{Report: &report.Report{Slots: 4, Slowdown: pace}}
				p.RecordProbe(now, t.Name, r)
			}
			ch := p.Pick(now, c, nil, nil)
			Expect(ch.Stage).To(Equal(stage.Send))
			if noisy(ch.Target.Name) {
				slow++
			}
			p.Release(now.Add(60*time.Millisecond), &ch)
		}
		// Without asking, one in four calls meets a slow upstream.
		Expect(slow).To(BeNumerically("<=", 400/20))
	})

	It("keeps to the budget of probes", func() {
		f := announcedFleet(3, 1, 0)
		f.Service.ProbeRate = 10
		p := newPool(f)
		asked := map[string]int{}
		for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(10 * time.Millisecond) {
			c := newCall()
			c.Deadline = now.Add(time.Second)
			list, _ := p.ProbeCandidates(now, c, nil)
			for _, t := range list {
				asked[t.Name]++
			}
		}
		for _, n := range asked {
			Expect(n).To(BeNumerically("<=", 10*(60+8)+1))
		}
	})

	It("keeps near to as many others when those next to it are down", func() {
		p := newPool(announcedFleet(165, 118, 0))
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
		upstreams, near int
	}{{3, 3}, {24, 24}, {25, 12}, {165, 12}} {
		It("keeps near to a bounded part of a large service", func() {
			p := newPool(announcedFleet(tc.upstreams, 118, 0))
			seen := map[string]bool{}
			for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(20 * time.Millisecond) {
				c := newCall()
				c.Deadline = now.Add(time.Second)
				list, _ := p.ProbeCandidates(now, c, nil)
				for _, t := range list {
					seen[t.Name] = true
				}
			}
			Expect(len(seen)).To(BeNumerically("<=", tc.near))
			Expect(seen).NotTo(BeEmpty())
		})
	}
})
