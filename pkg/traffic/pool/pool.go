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
	"github.com/balsamvale/balsamvale/pkg/traffic/room"
	"github.com/balsamvale/balsamvale/pkg/traffic/work"
)

// Pool is the traffic state of one service in one entry; it is safe for concurrent use.
type Pool struct {
	// OnFact, if set, is called with each fact that the pool itself finds out about an upstream or a rollout, not with the
	// facts passed to Merge; it must not block.
	OnFact func(fact.Fact)
	// OnWaiting, if set, is called when a call starts to wait, so that DispatchWaiting is called until none waits. It is
	// called with the lock held, so it must not block or use the pool.
	OnWaiting func()

	// hasWaiting is set while calls may be waiting, so that DispatchWaiting can check this without the lock.
	hasWaiting atomic.Bool

	// mu guards all fields below.
	mu     sync.Mutex
	rand   *rand.Rand
	policy policy.Policy
	// now is the latest time that a caller passed.
	now time.Time
	// resumedAt is the end of the last pause of this process; the latency of calls sent before it may include the pause.
	resumedAt time.Time
	config    *svcfg.Config
	// closed is set once the service has left the configuration.
	closed    bool
	upstreams []*upstreamState
	byName    map[string]*upstreamState
	groups    []group
	// shared is set if many entries share upstreams of few slots.
	shared      bool
	queue       *queue.Queue[*waiter]
	limiter     *admit.Limiter[*waiter]
	retryBudget *budget.Budget
	room        room.Estimator
	// avgOtherLoad is the average number of calls from other entries at an upstream.
	avgOtherLoad float64
	// avgRunTime is the average run time of the calls of the service, and runTimeSamples the number of run times behind it.
	avgRunTime     time.Duration
	runTimeSamples int
	// work holds the run times by routing rule. Only admission uses them: they make the choice of an upstream worse
	// (docs/DESIGN.md, "Run times by route").
	work work.Estimator
	// avgSlowdown is the average slowdown that upstreams report, and slowdownSamples the number of reports behind it.
	avgSlowdown     float64
	slowdownSamples int
	// avgReleaseGap is the average time between two ends of calls in this entry, and lastRelease the time of the last one.
	avgReleaseGap time.Duration
	lastRelease   time.Time
	// analyzer compares the versions of the rollout; nil without one. rolledBack is set once it finds the new version bad.
	analyzer   *canary.Analyzer
	rollout    string
	rolledBack bool
	// tallies are the outcomes of the new version, and baseline those of the old one, since evidence was sent at
	// evidenceSentAt.
	tallies        []upstreamTally
	baseline       upstreamTally
	evidenceSentAt time.Time
	// pressureSentAt is when this entry last reported that it lost calls.
	pressureSentAt time.Time
	// facts and toWake are handed out by unlock, after it has released the lock.
	facts  []fact.Fact
	toWake []*waiter
}

// group is the set of upstreams of one version, of all versions, or of all but one.
type group struct {
	// version is empty for a group of all versions but excluded.
	version string
	// weight is the share of the group in the calls, in permille.
	weight int
	// excluded is the version that does not belong to a group with an empty version; empty for none.
	excluded string
	// members are the upstreams that may get new work.
	members []*upstreamState
	// subsetOrder holds the members in the order in which this entry prefers them; it matters once the group is large.
	subsetOrder []*upstreamState
	// total also counts the upstreams that get no new work.
	total int
}

// matches reports whether upstreams of a version belong to the group.
func (g *group) matches(version string) bool {
	if g.version != "" {
		return g.version == version
	}
	return g.excluded == "" || g.excluded != version
}

// New returns a pool without upstreams.
func New(rnd *rand.Rand, p policy.Policy) *Pool {
	pl := &Pool{
		rand:        rnd,
		policy:      p,
		byName:      map[string]*upstreamState{},
		queue:       queue.New[*waiter](),
		limiter:     admit.New[*waiter](tune.AdmitLimitInitial),
		retryBudget: budget.New(tune.RetryBurst),
		avgRunTime:  tune.InitialRunTime,
		avgSlowdown: 1,
	}
	pl.limiter.RunTime = pl.work.RunTime
	return pl
}

// Install applies a new configuration of the service and keeps what is known about upstreams whose name and address stay.
func (p *Pool) Install(now time.Time, cfg *svcfg.Config) {
	p.mu.Lock()
	defer p.unlock()
	p.advanceTime(now)
	p.config = cfg
	p.retryBudget.SetBurst(retryBurst(cfg))
	p.followRollout(cfg)
	old := p.byName
	p.byName = make(map[string]*upstreamState, len(cfg.Targets))
	p.upstreams = make([]*upstreamState, 0, len(cfg.Targets))
	for i := range cfg.Targets {
		t := &cfg.Targets[i]
		s := old[t.Name]
		if s == nil || s.target.Addr != t.Addr {
			s = &upstreamState{}
		}
		s.install(p, t)
		p.byName[t.Name] = s
		p.upstreams = append(p.upstreams, s)
	}
	p.shared = p.sharesUpstreams()
	p.regroup()
	p.limiter.SetInitial(p.initialLimit())
	p.room.SetFleet(cfg.EntryCount, len(p.upstreams), p.probers(), p.shared)
}

// regroup rebuilds the version groups from the shares of the configuration and from the upstreams.
//
// After a rollback, the first share, that of the old version, gets all calls.
func (p *Pool) regroup() {
	p.groups = p.groups[:0]
	if len(p.config.Shares) == 0 {
		p.groups = append(p.groups, group{weight: fullWeight})
	}
	for i, sh := range p.config.Shares {
		w := sh.Permille
		if p.rolledBack && p.rollout != "" {
			w = fullWeight * (1 - i)
		}
		g := group{version: sh.Version, weight: w}
		if g.version == "" {
			g.excluded = p.config.Shares[len(p.config.Shares)-1].Version
		}
		p.groups = append(p.groups, g)
	}
	for _, s := range p.upstreams {
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

// Pick chooses an upstream for a call and counts the call as in flight there, or lets the call wait or refuses it.
//
// tried names the upstreams that the call was sent to before; it is empty for the first attempt, which adds to the retry
// budget and does not overtake waiting calls of its class or a higher one. For a waiting call, wake is called once
// with the later choice, unless CancelWait removes the call first. With a nil wake, a call that would have to wait is refused.
func (p *Pool) Pick(now time.Time, c *call.Call, tried []string, wake func(choice.Choice)) choice.Choice {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	if r, refused := p.refuseAll(now); refused {
		return r
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

// hasQueueAhead reports whether calls wait in the queue that go before c: those of the same or a higher class.
func (p *Pool) hasQueueAhead(c *call.Call) bool {
	if p.queue.Len() == 0 {
		return false
	}
	if _, ok := p.queue.Peek(class.Interactive); ok {
		return true
	}
	return c.Class == class.Bulk
}

// TakeRetry takes one retry from the retry budget of the service and reports whether there was one.
func (p *Pool) TakeRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.Withdraw()
}

// RecordResult updates the state of the upstream from the result of an attempt: the head of an answer, or the lack of one.
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

// Release frees the place of a call that Pick counted as in flight and dispatches waiting calls.
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

// recordRelease updates the average time between two ends of calls.
func (p *Pool) recordRelease(now time.Time) {
	if !p.lastRelease.IsZero() {
		p.avgReleaseGap += time.Duration(tune.AverageWeight * float64(now.Sub(p.lastRelease)-p.avgReleaseGap))
	}
	p.lastRelease = now
}

// RecordProbe updates the state of an upstream from the result of a probe.
//
// It reports whether the upstream has a free slot and is not slowed down, so that no other upstream needs to be probed.
func (p *Pool) RecordProbe(now time.Time, upstream string, r *result.Result) (good bool) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	s := p.byName[upstream]
	if s == nil {
		return false
	}
	s.recordReport(p, now, r.Report, false)
	if st := r.Statement; st != nil {
		s.pause(p, now, st.Pause)
		if st.Leaving {
			s.leave(p, now)
		}
	}
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

// maxGoodSlowdown is the slowdown, a factor, up to which an upstream counts as not slowed down.
const maxGoodSlowdown = 1.2

// Merge applies a fact that another entry learned about an upstream, the new version of a rollout or the calls of the service.
func (p *Pool) Merge(now time.Time, f fact.Fact) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	switch f.Topic {
	case topic.Evidence:
		p.mergeEvidence(now, f)
		return
	case topic.Pressure:
		p.mergePressure(now, f)
		return
	}
	if s := p.byName[f.Subject]; s != nil {
		s.merge(p, now, f)
	}
}

// AddCredits adds credits for a cold upstream and dispatches waiting calls, which may use them.
//
// Credits for another incarnation of the upstream than the current one are dropped.
func (p *Pool) AddCredits(now time.Time, upstream string, incarnation uint64, cs []credit.Credit) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	s := p.byName[upstream]
	if s != nil && s.incarnation == incarnation {
		s.wallet.Add(cs...)
	}
	p.dispatchQueue(now)
}

// VisitDemand calls visit for each upstream for which calls want credits or credits are to be returned.
//
// wanted counts how often a call found no credit since the last VisitDemand, for cold upstreams only; returned holds the IDs
// of the credits that are no longer in use. visit is called with the lock held.
func (p *Pool) VisitDemand(now time.Time, visit func(upstream string, incarnation uint64, wanted int, returned []uint64)) {
	p.mu.Lock()
	defer p.unlock()
	now = p.advanceTime(now)
	for _, s := range p.upstreams {
		wanted, returned := s.wallet.TakeDemand()
		if !s.cold(now) {
			wanted = 0
		}
		if wanted > 0 || len(returned) > 0 {
			visit(s.target.Name, s.incarnation, wanted, returned)
		}
	}
}

// ReportAge returns the age of the last load report of an upstream, and whether the state of the upstream is in doubt
// because it is cold or its circuit is open. Before the first report, the age is the time since the zero time. It returns 0
// and false for an unknown upstream.
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

// meanWeight returns the weight of the nth value in a moving average that starts as the plain mean, so that few values
// already give a usable average.
func meanWeight(n int) float64 { return max(tune.MinMeanWeight, 1/float64(n)) }

// advanceTime returns the latest time passed so far, so that time never goes backwards, and detects pauses of the process.
//
// Control calls into the pool many times a second, so a long gap between calls is a pause of this entry.
func (p *Pool) advanceTime(now time.Time) time.Time {
	if now.Sub(p.now) > tune.MinProcessPause {
		p.resumedAt = now
	}
	if now.After(p.now) {
		p.now = now
	}
	return p.now
}

// unlock releases the lock, and then wakes calls and passes on facts, so that these callbacks do not hold up the pool.
func (p *Pool) unlock() {
	facts, woken := p.facts, p.toWake
	p.facts, p.toWake = nil, nil
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

// refusal returns a choice that refuses a call for a reason.
func refusal(now time.Time, r reason.Reason) choice.Choice {
	return choice.Choice{Stage: stage.Refuse, Reason: r, At: now}
}
