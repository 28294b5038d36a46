package pool

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/calls/credit"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/admit"
	"github.com/balsamvale/balsamvale/pkg/traffic/budget"
	"github.com/balsamvale/balsamvale/pkg/traffic/canary"
	"github.com/balsamvale/balsamvale/pkg/traffic/queue"
)

// Pool is the traffic state of one service in one entry; it is safe for concurrent use.
type Pool struct {
	// Note, when set, is told what the pool learns about an upstream; it must not block.
	OnFact func(fact.Fact)
	// Waiting, when set, is told that a call waits, so that Pump is called until none does; it must not block.
	OnWaiting func()

	// hasWaiting is set while calls may be in the queue, for a look without the lock.
	hasWaiting atomic.Bool

	mu     sync.Mutex
	rand   *rand.Rand
	policy policy.Policy
	now    time.Time
	// resumed is the end of the entry's last pause; calls sent before it tell nothing of latency.
	resumed     time.Time
	config      *svcfg.Config
	ups         []*upstreamState
	byName      map[string]*upstreamState
	groups      []group
	queue       *queue.Queue[*waiter]
	limiter     *admit.Limiter[*waiter]
	retryBudget *budget.Budget
	// avgOtherLoad is the average number of other entries' calls at an upstream.
	avgOtherLoad float64
	// avgRunTime is the average run time of the service, over so many answers.
	avgRunTime time.Duration
	runs       int
	// avgSlowdown is the average pace that upstreams report, over so many reports.
	avgSlowdown     float64
	slowdownSamples int
	// avgReleaseGap is the average time between ends of this entry's calls.
	avgReleaseGap time.Duration
	lastRelease   time.Time
	// analyzer weighs the versions of the move, which is convicted once the new one is bad.
	analyzer   *canary.Analyzer
	rollout    string
	rolledBack bool
	// tallies are the outcomes of the new version since toldAt.
	tallies []outcomes
	toldAt  time.Time
	// facts and woken are passed on once the lock is free.
	facts []fact.Fact
	woken []*waiter
}

// group is the set of upstreams that may get work, by version.
type group struct {
	version string
	weight  int
	// except is a version that does not belong to a group without a version of its own.
	except  string
	members []*upstreamState
	// subsetOrder are the members in the order in which this entry keeps to them, once the group is large.
	subsetOrder []*upstreamState
	total       int
}

// matches reports whether upstreams of a version belong to the group.
func (g *group) matches(version string) bool {
	if g.version != "" {
		return g.version == version
	}
	return g.except == "" || g.except != version
}

// New returns a pool without upstreams.
func New(rnd *rand.Rand, p policy.Policy) *Pool {
	return &Pool{
		rand:        rnd,
		policy:      p,
		byName:      map[string]*upstreamState{},
		queue:       queue.New[*waiter](),
		limiter:     admit.New[*waiter](),
		retryBudget: budget.New(tune.RetryBurst),
		avgRunTime:  tune.InitialRunTime,
		avgSlowdown: 1,
	}
}

// Install puts a new view of the service in force and keeps what is known of its upstreams.
func (p *Pool) Install(now time.Time, f *svcfg.Config) {
	p.mu.Lock()
	defer p.unlock()
	p.advanceTime(now)
	p.config = f
	p.retryBudget.SetBurst(f.RetryBurst)
	p.followRollout(f)
	old := p.byName
	p.byName = make(map[string]*upstreamState, len(f.Targets))
	p.ups = make([]*upstreamState, 0, len(f.Targets))
	for i := range f.Targets {
		t := &f.Targets[i]
		s := old[t.Name]
		if s == nil || s.target.Addr != t.Addr {
			s = &upstreamState{}
		}
		s.install(p, t)
		p.byName[t.Name] = s
		p.ups = append(p.ups, s)
	}
	p.regroup()
}

// regroup sorts the upstreams that may get work by version.
func (p *Pool) regroup() {
	p.groups = p.groups[:0]
	if len(p.config.Shares) == 0 {
		p.groups = append(p.groups, group{weight: fullShare})
	}
	for i, sh := range p.config.Shares {
		w := sh.Permille
		if p.rolledBack && p.rollout != "" {
			w = fullShare * (1 - i)
		}
		g := group{version: sh.Version, weight: w}
		if g.version == "" {
			g.except = p.config.Shares[len(p.config.Shares)-1].Version
		}
		p.groups = append(p.groups, g)
	}
	for _, s := range p.ups {
		for i := range p.groups {
			g := &p.groups[i]
			if !g.matches(s.target.Version) {
				continue
			}
			g.total++
			if s.available() {
				g.members = append(g.members, s)
			}
		}
	}
	for i := range p.groups {
		p.groups[i].subsetOrder = p.orderSubset(p.groups[i].members)
	}
}

// Pick decides where a call goes and, when that is an upstream, counts it as in flight there.
//
// When the choice is to wait, wake is called once with the later choice, unless Leave came first.
func (p *Pool) Pick(now time.Time, c *call.Call, tried []string, wake func(choice.Choice)) choice.Choice {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	if p.config == nil {
		return refusal(now, reason.UnknownService)
	}
	if len(tried) == 0 {
		p.retryBudget.Deposit(p.config.Service.RetryPercent)
	}
	if len(tried) == 0 && p.hasQueueAhead(c) {
		return p.enqueue(now, c, tried, wake, choice.Choice{At: now})
	}
	ch := p.choose(now, c, tried)
	if ch.Stage != stage.Wait {
		return ch
	}
	return p.enqueue(now, c, tried, wake, ch)
}

// hasQueueAhead reports whether calls of the same or a higher class are waiting already.
func (p *Pool) hasQueueAhead(c *call.Call) bool {
	if p.queue.Len() == 0 {
		return false
	}
	if _, ok := p.queue.Peek(class.Interactive); ok {
		return true
	}
	return c.Class == class.Bulk
}

// TakeRetry takes one retry from the service's budget and reports whether there was one.
func (p *Pool) TakeRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.Withdraw()
}

// RecordResult learns from the head of an answer, or from the lack of one.
func (p *Pool) RecordResult(now time.Time, ch *choice.Choice, r *result.Result) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	s := p.byName[ch.Target.Name]
	if s == nil {
		return
	}
	s.recordResult(p, now, ch, r)
	p.adaptLimit(s, r)
}

// Release releases the place of a call that Pick counted, and lets waiting calls move up.
func (p *Pool) Release(now time.Time, ch *choice.Choice) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	p.recordRelease(now)
	if s := p.byName[ch.Target.Name]; s != nil {
		s.release(ch)
	}
	p.dispatchQueue(now)
}

// recordRelease updates the average time between ends of calls.
func (p *Pool) recordRelease(now time.Time) {
	if !p.lastRelease.IsZero() {
		p.avgReleaseGap += time.Duration(tune.AverageWeight * float64(now.Sub(p.lastRelease)-p.avgReleaseGap))
	}
	p.lastRelease = now
}

// RecordProbe learns from a probe of an upstream; r is nil when the probe failed.
//
// It reports whether the upstream has a free slot and works at its usual pace, so that no other need be asked.
func (p *Pool) RecordProbe(now time.Time, upstream string, r *result.Result) (good bool) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	s := p.byName[upstream]
	if s == nil {
		return false
	}
	s.recordReport(p, now, r.Report)
	switch {
	case r.Cause == cause.DialFailed:
		s.dialFailed = true
		s.breaker.Open(now)
	case r.WrongInstance:
		s.breaker.Open(now)
	case r.Cause == cause.Unsent, r.Cause == cause.Canceled, r.Cause == cause.Timeout, r.Cause == cause.Shed:
	case r.Cause != cause.None && p.config.Service.ProbesPerCall == 0:
		s.breaker.Fail(now)
	}
	return r.Cause == cause.None && r.Report != nil && s.hasFreeSlot(p)
}

// maxGoodSlowdown is the pace up to which an upstream counts as undisturbed.
const maxGoodSlowdown = 1.2

// Merge takes over what another entry found out about an upstream or a new version.
func (p *Pool) Merge(now time.Time, f fact.Fact) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	if f.Topic == topic.Evidence {
		p.mergeEvidence(now, f)
		return
	}
	if s := p.byName[f.Subject]; s != nil {
		s.merge(p, now, f)
	}
}

// AddCredits adds credits for a cold upstream and lets waiting calls use them.
func (p *Pool) AddCredits(now time.Time, upstream string, boot uint64, cs []credit.Credit) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	s := p.byName[upstream]
	if s != nil && s.incarnation == boot {
		s.wallet.Add(cs...)
	}
	p.dispatchQueue(now)
}

// VisitDemand lists the cold upstreams that lack credits, through visit.
func (p *Pool) VisitDemand(now time.Time, visit func(upstream string, boot uint64, want int, back []uint64)) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	for _, s := range p.ups {
		want, back := s.wallet.TakeDemand()
		if !s.cold(now) {
			want = 0
		}
		if want > 0 || len(back) > 0 {
			visit(s.target.Name, s.incarnation, want, back)
		}
	}
}

// ReportAge returns the age of the newest report of an upstream, and whether it needs proof of its state.
func (p *Pool) ReportAge(now time.Time, upstream string) (age time.Duration, doubt bool) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	s := p.byName[upstream]
	if s == nil {
		return 0, false
	}
	return now.Sub(s.reportAt), s.cold(now) || s.breaker.Opened()
}

// meanWeight is the weight of the nth value in an average that begins as a plain one, so that it soon holds.
func meanWeight(n int) float64 { return max(tune.MinMeanWeight, 1/float64(n)) }

// advanceTime keeps time from going backwards, whatever the caller passes, and notices pauses.
//
// Control calls in many times a second, so that a long silence is the entry's own.
func (p *Pool) advanceTime(now time.Time) time.Time {
	if now.Sub(p.now) > tune.MinProcessPause {
		p.resumed = now
	}
	if now.After(p.now) {
		p.now = now
	}
	return p.now
}

// unlock gives the lock back and then passes on news and choices, which may take their time.
func (p *Pool) unlock() {
	facts, woken := p.facts, p.woken
	p.facts, p.woken = nil, nil
	p.mu.Unlock()
	for _, w := range woken {
		w.wake(w.decision)
	}
	if p.OnFact == nil {
		return
	}
	for _, f := range facts {
		p.OnFact(f)
	}
}

func refusal(now time.Time, why reason.Reason) choice.Choice {
	return choice.Choice{Stage: stage.Refuse, Reason: why, At: now}
}
