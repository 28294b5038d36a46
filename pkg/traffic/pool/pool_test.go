package pool_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/calls/credit"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/report"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/share"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

var start = time.Unix(1000, 0)

// newConfig returns a service with n upstreams of version v1, called up-0 onward.
func newConfig(n int) *svcfg.Config {
	cfg := &svcfg.Config{
		Service:    svcrec.Service{Name: "s", Slots: 4, Conns: 260, Timeout: time.Second, ColdConcurrency: 1, Warmup: 10 * time.Second, RetryPercent: 10, Queue: 4},
		EntryCount: 1,
	}
	for i := range n {
		cfg.Targets = append(cfg.Targets, target.Target{Upstream: upsrec.Upstream{
			Name: fmt.Sprintf("up-%d", i), Version: "v1",
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}})
	}
	return cfg
}

func newPool(cfg *svcfg.Config) *pool.Pool {
	p := pool.New(rand.New(rand.NewPCG(1, 2)), policy.LeastPredictedWait)
	p.Install(start, cfg)
	return p
}

func newCall() *call.Call {
	return &call.Call{Service: "s", Caller: "c", Idempotent: true, Buffered: true, Arrived: start, Deadline: start.Add(time.Second)}
}

// failIfWoken is a wake function for calls that must not be woken.
func failIfWoken(choice.Choice) { Fail("woken") }

var _ = Describe("Pick", func() {
	for _, tc := range []struct {
		name   string
		change func(cfg *svcfg.Config)
		before func(p *pool.Pool)
		class  class.Class
		stage  stage.Stage
		reason reason.Reason
	}{
		{name: "sends to the upstream with the lowest predicted wait", stage: stage.Send, reason: reason.LowestWait},
		{name: "refuses a call without upstreams", change: func(cfg *svcfg.Config) { cfg.Targets = nil }, stage: stage.Refuse, reason: reason.NoUpstream},
		{name: "leaves out a drained failure domain", change: func(cfg *svcfg.Config) { cfg.Targets[0].DomainDrained = true }, stage: stage.Refuse, reason: reason.NoUpstream},
		{name: "leaves out an upstream that is draining by its record", change: func(cfg *svcfg.Config) { cfg.Targets[0].Draining = true }, stage: stage.Refuse, reason: reason.NoUpstream},
		{name: "leaves out an upstream that is draining by a fact from a peer", before: func(p *pool.Pool) {
			p.Merge(start, fact.Fact{Topic: topic.Draining, Subject: "up-0", Until: start.Add(time.Minute)})
		}, stage: stage.Refuse, reason: reason.NoUpstream},
		{name: "waits for a cold upstream", change: func(cfg *svcfg.Config) { cfg.Targets[0].ColdUntil = start.Add(time.Minute) }, stage: stage.Wait, reason: reason.AtCapacity},
		{name: "sends to a cold upstream with a credit", change: func(cfg *svcfg.Config) { cfg.Targets[0].ColdUntil = start.Add(time.Minute) }, before: func(p *pool.Pool) {
			p.AddCredits(start, "up-0", 0, []credit.Credit{{ID: 1, Until: start.Add(2 * time.Second)}})
		}, stage: stage.Send, reason: reason.ColdCredit},
		{name: "uses no credit that is about to expire", change: func(cfg *svcfg.Config) { cfg.Targets[0].ColdUntil = start.Add(time.Minute) }, before: func(p *pool.Pool) {
			p.AddCredits(start, "up-0", 0, []credit.Credit{{ID: 1, Until: start.Add(time.Millisecond)}})
		}, stage: stage.Wait, reason: reason.AtCapacity},
		{name: "sends no bulk call to a cold upstream", class: class.Bulk, change: func(cfg *svcfg.Config) { cfg.Targets[0].ColdUntil = start.Add(time.Minute) }, before: func(p *pool.Pool) {
			p.AddCredits(start, "up-0", 0, []credit.Credit{{ID: 1, Until: start.Add(2 * time.Second)}})
		}, stage: stage.Wait, reason: reason.AtCapacity},
		{name: "keeps to its part of the connections of an upstream", change: func(cfg *svcfg.Config) { cfg.Service.Conns, cfg.EntryCount = 17, 17 }, before: func(p *pool.Pool) {
			p.Pick(start, newCall(), nil, failIfWoken)
		}, stage: stage.Wait, reason: reason.AtCapacity},
		{name: "sends nothing to a version with a share of 0", change: func(cfg *svcfg.Config) {
			cfg.Shares = []share.Share{{Version: "v0", Permille: 1000}, {Version: "v1", Permille: 0}}
		}, stage: stage.Refuse, reason: reason.NoUpstream},
	} {
		It(tc.name, func() {
			cfg := newConfig(1)
			if tc.change != nil {
				tc.change(cfg)
			}
			p := newPool(cfg)
			if tc.before != nil {
				tc.before(p)
			}
			c := newCall()
			c.Class = tc.class
			ch := p.Pick(start, c, nil, failIfWoken)
			Expect(ch.Stage).To(Equal(tc.stage))
			Expect(ch.Reason).To(Equal(tc.reason))
		})
	}
})

var _ = Describe("RecordResult", func() {
	for _, tc := range []struct {
		name    string
		reports []report.Report
		cold    bool
		// facts is the number of facts that the pool passes on.
		facts int
	}{
		{"stays warm on reports of one incarnation", []report.Report{{Incarnation: 1, Uptime: time.Minute}, {Incarnation: 1, Uptime: time.Minute}}, false, 0},
		{"turns cold on a new incarnation", []report.Report{{Incarnation: 1, Uptime: time.Minute}, {Incarnation: 2, Uptime: time.Second}}, true, 1},
		{"turns cold when it reports itself as cold", []report.Report{{Incarnation: 1, Uptime: time.Minute, Cold: true}}, true, 1},
		{"ignores a late report of an earlier incarnation", []report.Report{{Incarnation: 2, Uptime: time.Minute}, {Incarnation: 1, Uptime: time.Hour}}, false, 0},
		{"is warm again when it reports so after the warm-up", []report.Report{{Incarnation: 1, Uptime: time.Second, Cold: true}, {Incarnation: 1, Uptime: 11 * time.Second}}, false, 1},
		{"stays cold when it reports itself as warm before the end of the warm-up", []report.Report{{Incarnation: 1, Uptime: time.Second, Cold: true}, {Incarnation: 1, Uptime: 2 * time.Second}}, true, 1},
	} {
		It(tc.name, func() {
			p := newPool(newConfig(1))
			facts := 0
			p.OnFact = func(fact.Fact) { facts++ }
			for _, r := range tc.reports {
				ch := p.Pick(start, newCall(), nil, nil)
				if ch.Stage != stage.Send {
					ch = choice.Choice{Target: &target.Target{Upstream: upsrec.Upstream{Name: "up-0"}}}
				}
				p.RecordResult(start, &ch, &result.Result{Report: &r, Latency: time.Millisecond})
				p.Release(start, &ch)
			}
			Expect(p.Pick(start, newCall(), nil, nil).Stage == stage.Send).To(Equal(!tc.cold))
			Expect(facts).To(Equal(tc.facts))
		})
	}
})

var _ = Describe("An upstream that may close connections", func() {
	for _, tc := range []struct {
		name    string
		closing []bool
		stage   stage.Stage
	}{
		{"is taken as draining when it closes several in a row after it kept some open", []bool{false, true, true, true}, stage.Refuse},
		{"stays in use when it closes some now and then", []bool{false, true, true, false, true, true}, stage.Send},
		{"stays in use when it closes them from the first answer on", []bool{true, true, true, true}, stage.Send},
		{"stays in use when it closes none", []bool{false, false}, stage.Send},
	} {
		It(tc.name, func() {
			p := newPool(newConfig(1))
			for _, closing := range tc.closing {
				ch := p.Pick(start, newCall(), nil, nil)
				p.RecordResult(start, &ch, &result.Result{ConnClose: closing, Latency: time.Millisecond})
				p.Release(start, &ch)
			}
			Expect(p.Pick(start, newCall(), nil, nil).Stage).To(Equal(tc.stage))
		})
	}
})

var _ = Describe("Pool", func() {
	for _, tc := range []struct {
		name string
		seed uint64
	}{{"one", 1}, {"two", 2}, {"three", 3}} {
		It("keeps its counts consistent over random events, seed "+tc.name, func() {
			rnd := rand.New(rand.NewPCG(tc.seed, 9))
			p := newPool(newConfig(5))
			now := start
			var inFlight []choice.Choice
			waiting := 0
			causes := []cause.Cause{cause.None, cause.Shed, cause.Error, cause.ConnBroken, cause.Canceled}
			for range 30_000 {
				now = now.Add(time.Duration(rnd.IntN(2000)) * time.Microsecond)
				if rnd.IntN(2) == 0 {
					c := newCall()
					c.Caller, c.Deadline = fmt.Sprint(rnd.IntN(3)), now.Add(time.Duration(1+rnd.IntN(50))*time.Millisecond)
					ch := p.Pick(now, c, nil, func(ch choice.Choice) {
						waiting--
						if ch.Stage == stage.Send {
							inFlight = append(inFlight, ch)
						}
					})
					switch ch.Stage {
					case stage.Send:
						inFlight = append(inFlight, ch)
					case stage.Wait:
						waiting++
					}
				} else if len(inFlight) > 0 {
					i := rnd.IntN(len(inFlight))
					ch := inFlight[i]
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
					r := &result.Result{Cause: causes[rnd.IntN(len(causes))], Latency: time.Millisecond}
					p.RecordResult(now, &ch, r)
					p.Release(now, &ch)
				}
				Expect(p.DispatchWaiting(now)).To(Equal(waiting))
			}
			for _, ch := range inFlight {
				p.Release(now, &ch)
			}
			Expect(waiting).To(BeNumerically("<=", 4))
		})
	}
})

func BenchmarkPick(b *testing.B) {
	for _, bc := range []struct{ upstreams int }{{17}, {100}, {1000}} {
		b.Run(fmt.Sprint(bc.upstreams), func(b *testing.B) {
			p := newPool(newConfig(bc.upstreams))
			c := newCall()
			r := &result.Result{Latency: time.Millisecond, Report: &report.Report{InFlight: 2, Slots: 4, Incarnation: 1, Uptime: time.Minute}}
			for range 10 * bc.upstreams {
				ch := p.Pick(start, c, nil, nil)
				p.RecordResult(start, &ch, r)
				p.Release(start, &ch)
			}
			now := start.Add(time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				ch := p.Pick(now, c, nil, nil)
				p.Release(now, &ch)
			}
		})
	}
}

// Nothing dispatches the pool of a service that has left the configuration.
var _ = Describe("A closed pool", func() {
	for _, tc := range []struct {
		name   string
		probes int
	}{{"for an upstream", 0}, {"for admission", 1}} {
		It("refuses the calls that wait "+tc.name+", and all that come later", func() {
			cfg := newConfig(1)
			cfg.Service.ProbesPerCall = tc.probes
			p := newPool(cfg)
			woken := make(chan choice.Choice, 1)
			waiting := false
			enter := func() choice.Choice {
				if ch := p.Admit(start, newCall(), func(ch choice.Choice) { woken <- ch }); ch.Stage != stage.Probe {
					return ch
				}
				return p.Pick(start, newCall(), nil, func(ch choice.Choice) { woken <- ch })
			}
			for range 1000 {
				if waiting = enter().Stage == stage.Wait; waiting {
					break
				}
			}
			Expect(waiting).To(BeTrue())
			p.Close(start)
			Expect(woken).To(Receive(HaveField("Reason", reason.NoUpstream)))
			ch := enter()
			Expect(ch.Stage).To(Equal(stage.Refuse))
			Expect(ch.Reason).To(Equal(reason.NoUpstream))
		})
	}
})
