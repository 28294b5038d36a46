package canary

import (
	"fmt"
	"math"
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Analyzer is a sequential test of the new version of one rollout against the old one, the baseline. It is not safe for
// concurrent use: its owner must lock it.
//
// It keeps cumulative sums (Page's CUSUM) of log likelihood ratios for failures and for slow answers, over the whole new
// version and over each route. The old version on the same route shows what is normal. The evidence of a single upstream
// is not enough against a version that runs on several.
type Analyzer struct {
	// Pooled is set while the outcomes of all entries are compared together. The slow answers that this entry sees then do not
	// decide alone: in the rush after a pause, a few entries see many at once of a good version as well.
	Pooled bool

	routes map[string]*baseline
	// cusums holds the sums by route, and under allRoutes those over all routes.
	cusums map[string]*cusums
	// baselineCalls is the number of calls of the old version, and slowRate its recent rate of slow answers, on all routes.
	baselineCalls int
	slowRate      float64
	// meanTime is the mean response time of the old version on all routes, and outlierRate the recent rate of times far
	// beyond it.
	meanTime    time.Duration
	outlierRate float64
	// pooled holds the sums over the tallies that were passed to RecordTally, pooledBaselineCalls the number of calls of the old
	// version in those passed to RecordBaselineTally, pooledFailureRate, pooledSlowRate and pooledMeanTime the rates and the mean
	// response time of the old version in them, and latestSlowRate the rate of its slow answers over the last ten calls or so.
	pooled              cusums
	pooledBaselineCalls int
	pooledFailureRate   float64
	pooledSlowRate      float64
	pooledMeanTime      time.Duration
	latestSlowRate      float64
}

// baseline holds what is known about the old version on one route.
type baseline struct {
	calls int
	// failureRate and slowRate are the recent rates of failures and of slow answers.
	failureRate float64
	slowRate    float64
	// timeQuantile is the tracked quantile tune.CanarySlowQuantile of the response times.
	timeQuantile time.Duration
}

// cusums are the sums for failures and for slow answers.
type cusums struct {
	failures  cusum
	slowCalls cusum
}

// cusum is one cumulative sum with the hits, failures or slow answers, behind it.
type cusum struct {
	value float64
	// hits counts the hits by upstream, and total all of them.
	hits  map[string]int
	total int
	// exceeded is set once the sum has reached the limit, at baselineAtExceeded calls of the old version.
	exceeded           bool
	baselineAtExceeded int
}

// add adds one outcome at an upstream, where good and bad are the hit rates of a good and of a bad version. A sum that falls
// to 0 starts anew without its hits. baselineCalls is the number of calls of the old version so far.
func (c *cusum) add(upstream string, hit bool, good, bad float64, baselineCalls int) {
	c.value += logLikelihoodRatio(hit, good, bad)
	if c.value <= 0 {
		*c = cusum{}
		return
	}
	if !hit {
		return
	}
	if c.hits == nil {
		c.hits = map[string]int{}
	}
	c.hits[upstream]++
	c.total++
	if c.value >= tune.CanaryLLRLimit && !c.exceeded {
		c.exceeded, c.baselineAtExceeded = true, baselineCalls
	}
}

// confirmed reports whether the old version did well in enough calls since the sum reached the limit.
//
// baselineRate is the recent hit rate of the old version. If it is high as well, both versions suffer from a common cause:
// the evidence is void, and the sum starts anew.
func (c *cusum) confirmed(baselineCalls int, baselineRate float64) bool {
	if !c.exceeded || baselineCalls-c.baselineAtExceeded < tune.CanaryBaselineCalls {
		return false
	}
	if baselineRate > tune.CanaryCommonSlowRate {
		*c = cusum{}
		return false
	}
	return true
}

// conclusive reports whether the sum has reached the limit, and not because of a single upstream of several.
func (c *cusum) conclusive(upstreams int) bool {
	if c.value < tune.CanaryLLRLimit || len(c.hits) < min(upstreams, tune.CanaryMinUpstreams) {
		return false
	}
	if upstreams < tune.CanaryMinUpstreams {
		return true
	}
	for _, n := range c.hits {
		if float64(n) > tune.CanaryMaxUpstreamPart*float64(c.total) {
			return false
		}
	}
	return true
}

// New returns an analyzer without evidence.
func New() *Analyzer { return &Analyzer{routes: map[string]*baseline{}, cusums: map[string]*cusums{}} }

// RecordBaseline adds the outcome of a call to the old version. It reports whether the evidence is now enough to call the new
// version bad, and if so the reason, for operators.
//
// upstreams is the number of upstreams of the new version, and took the response time of the call.
func (a *Analyzer) RecordBaseline(route string, upstreams int, failed bool, took time.Duration) (reason string, bad bool) {
	a.recordBaseline(route, failed, took)
	b := a.routes[route]
	for _, key := range []string{route, allRoutes} {
		if c := a.cusums[key]; c != nil && c.slowCalls.exceeded {
			if reason, bad := a.checkSlow(key, c, upstreams, b); bad {
				return reason, true
			}
		}
	}
	return "", false
}

// recordBaseline updates the rates and times of the old version.
func (a *Analyzer) recordBaseline(route string, failed bool, took time.Duration) {
	b := a.routes[route]
	if b == nil {
		b = &baseline{timeQuantile: took}
		a.routes[route] = b
	}
	b.calls++
	a.baselineCalls++
	b.failureRate += tune.CanaryRateWeight * (indicator(failed) - b.failureRate)
	if failed {
		return
	}
	a.outlierRate += tune.CanaryRateWeight * (indicator(a.isOutlier(took)) - a.outlierRate)
	a.meanTime += time.Duration(max(tune.MinMeanWeight, 1/float64(a.baselineCalls)) * float64(took-a.meanTime))
	b.slowRate += tune.CanaryRateWeight * (indicator(b.isSlow(took)) - b.slowRate)
	a.slowRate += tune.CanaryRateWeight * (indicator(b.isSlow(took)) - a.slowRate)
	b.updateQuantile(took)
}

// indicator returns 1 for true and 0 for false.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// isSlow reports whether an answer took clearly longer than is normal for the old version on the route.
func (b *baseline) isSlow(took time.Duration) bool {
	return took > time.Duration(tune.CanarySlowFactor*float64(b.timeQuantile))
}

// updateQuantile moves the tracked quantile: up by a large step for a slower answer, down by a small one for a faster answer.
func (b *baseline) updateQuantile(took time.Duration) {
	step := float64(b.timeQuantile) * tune.CanaryQuantileStep
	if took > b.timeQuantile {
		b.timeQuantile += time.Duration(step * tune.CanarySlowQuantile)
	} else {
		b.timeQuantile -= time.Duration(step * (1 - tune.CanarySlowQuantile))
	}
}

// IsSlow reports whether a call that was canceled after the duration took already counts as slow on its route. It is false
// while too few calls of the old version on the route are known.
func (a *Analyzer) IsSlow(route string, took time.Duration) bool {
	b := a.routes[route]
	return b != nil && b.calls >= tune.CanaryMinRouteCalls && b.isSlow(took)
}

// CanCompare reports whether enough calls of the old version are known to tell whether an answer on a route is slow.
func (a *Analyzer) CanCompare(route string) bool {
	b := a.routes[route]
	return a.baselineCalls >= tune.CanaryBaselineCalls || b != nil && b.calls >= tune.CanaryMinRouteCalls
}

// IsSlowCanary reports whether an answer of the new version is slow. If this entry has seen too few calls of the old version
// on the route to know what is normal there, the answer is slow if it takes far longer than the mean of all routes.
func (a *Analyzer) IsSlowCanary(route string, took time.Duration) bool {
	if b := a.routes[route]; b != nil && b.calls >= tune.CanaryMinRouteCalls {
		return b.isSlow(took)
	}
	return a.isOutlier(took)
}

// isOutlier reports whether a time is far beyond the mean of the old version; false while that is not known.
func (a *Analyzer) isOutlier(took time.Duration) bool {
	return a.baselineCalls >= tune.CanaryBaselineCalls && took > tune.CanaryMeanFactor*a.meanTime
}

// RecordCanary adds the outcome of a call to the new version at an upstream. It reports whether the evidence is now enough to
// call the new version bad, and if so the reason, for operators.
//
// upstreams is the number of upstreams of the new version, and took the response time of the call.
func (a *Analyzer) RecordCanary(upstream, route string, upstreams int, failed bool, took time.Duration) (reason string, bad bool) {
	b := a.routes[route]
	if b == nil || b.calls < tune.CanaryMinRouteCalls {
		b = &baseline{}
	}
	for _, key := range []string{route, allRoutes} {
		if reason, bad := a.addOutcome(key, upstream, upstreams, b, failed, took); bad {
			return reason, true
		}
	}
	return "", false
}

// RecordBaselineTally adds the outcomes that an entry saw of the old version. It reports whether the evidence is now enough to
// call the new version bad, and if so the reason, for operators; upstreams is the number of upstreams of the new version.
//
// Entries that were paused, or that cannot reach some upstreams, see failures of both versions. Without those of the old
// version, their failures of the new one would count against it.
func (a *Analyzer) RecordBaselineTally(t tally.Tally, upstreams int) (reason string, bad bool) {
	if t.Calls <= 0 {
		return "", false
	}
	a.pooledBaselineCalls += t.Calls
	slowRate := float64(t.SlowCalls) / float64(t.Calls)
	w := weightOf(tune.MinMeanWeight, t.Calls)
	a.pooledFailureRate += w * (float64(t.Failures)/float64(t.Calls) - a.pooledFailureRate)
	a.pooledSlowRate += w * (slowRate - a.pooledSlowRate)
	if answered := t.Calls - t.Failures; answered > 0 {
		w := max(w, float64(answered)/float64(a.pooledBaselineCalls))
		a.pooledMeanTime += time.Duration(w * float64(t.TotalTime/time.Duration(answered)-a.pooledMeanTime))
	}
	a.latestSlowRate += weightOf(tune.CanaryRateWeight, t.Calls) * (slowRate - a.latestSlowRate)
	return a.checkPooledSlow(upstreams)
}

// weightOf returns the weight of n outcomes in a moving rate in which one has the given weight.
func weightOf(one float64, n int) float64 { return 1 - math.Pow(1-one, float64(n)) }

// RecordTally adds the outcomes that an entry saw of the new version at one upstream. It reports whether the evidence is now
// enough to call the new version bad, and if so the reason, for operators; upstreams is the number of its upstreams.
//
// The sending entry has compared response times with those of the old version, as far as it could; the others are compared here
// with the mean of the old version in all entries.
func (a *Analyzer) RecordTally(t tally.Tally, upstreams int) (reason string, bad bool) {
	c := &a.pooled
	goodFailures := min(max(tune.CanaryGoodFailureRate, 2*a.worstFailureRate(), 2*a.pooledFailureRate), maxRate)
	goodSlow := min(max(tune.CanaryGoodSlowRate, 2*a.pooledSlowRate), maxRate)
	for i := range t.Calls {
		c.failures.add(t.Upstream, i < t.Failures, goodFailures, max(tune.CanaryBadFailureRate, 2*goodFailures), a.pooledBaselineCalls)
		if i >= t.Failures {
			c.slowCalls.add(t.Upstream, i < t.Failures+t.SlowCalls, goodSlow, max(tune.CanaryPooledBadSlowRate, 2*goodSlow), a.pooledBaselineCalls)
		}
	}
	if a.pooledBaselineCalls >= tune.CanaryBaselineCalls {
		for _, took := range t.UnjudgedTimes {
			slow := took > tune.CanaryMeanFactor*a.pooledMeanTime
			c.slowCalls.add(t.Upstream, slow, goodSlow, max(tune.CanaryPooledBadSlowRate, 2*goodSlow), a.pooledBaselineCalls)
		}
	}
	if c.failures.conclusive(upstreams) {
		return fmt.Sprintf("the version fails on %d of %d upstreams, as several entries saw", len(c.failures.hits), upstreams), true
	}
	return a.checkPooledSlow(upstreams)
}

// checkPooledSlow reports whether the new version is bad because of slow answers that several entries saw, and returns the
// reason. The calls of the old version that confirm it are those of all entries: with few calls a second, a single entry may
// see too few of them before the rollout ends.
func (a *Analyzer) checkPooledSlow(upstreams int) (string, bool) {
	c := &a.pooled.slowCalls
	if !c.confirmed(a.pooledBaselineCalls, a.latestSlowRate) || !c.conclusive(upstreams) {
		return "", false
	}
	return fmt.Sprintf("the version is slow on %d of %d upstreams, as several entries saw; the old version's mean is %v",
		len(c.hits), upstreams, a.meanTime.Round(time.Millisecond)), true
}

// worstFailureRate returns the failure rate of the old version on its worst route.
func (a *Analyzer) worstFailureRate() float64 {
	worst := 0.0
	for _, b := range a.routes {
		worst = max(worst, b.failureRate)
	}
	return worst
}

// allRoutes is the key of the sums over all routes.
const allRoutes = ""

// addOutcome adds a call to the new version to the sums under key, a route or allRoutes, and returns the reason if these
// show that the version is bad. b is the baseline of the call's route; it is empty while too few calls are known.
func (a *Analyzer) addOutcome(key, upstream string, upstreams int, b *baseline, failed bool, took time.Duration) (string, bool) {
	c := a.cusums[key]
	if c == nil {
		c = &cusums{}
		a.cusums[key] = c
	}
	baselineCalls := b.calls
	if key == allRoutes {
		baselineCalls = a.baselineCalls
	}
	good := min(max(tune.CanaryGoodFailureRate, 2*b.failureRate), maxRate)
	c.failures.add(upstream, failed, good, max(tune.CanaryBadFailureRate, 2*good), baselineCalls)
	if c.failures.conclusive(upstreams) {
		return fmt.Sprintf("%s fails on %d of %d upstreams; the old version fails %.1f%%", scopeName(key), len(c.failures.hits), upstreams, 100*b.failureRate), true
	}
	if failed || b.timeQuantile == 0 {
		return "", false
	}
	good = min(max(tune.CanaryGoodSlowRate, 2*b.slowRate), maxRate)
	c.slowCalls.add(upstream, b.isSlow(took), good, max(tune.CanaryBadSlowRate, 2*good), baselineCalls)
	return a.checkSlow(key, c, upstreams, b)
}

// checkSlow reports whether the new version is bad because of slow answers, unless the old version is slow as well, and
// returns the reason.
func (a *Analyzer) checkSlow(key string, c *cusums, upstreams int, b *baseline) (string, bool) {
	baselineCalls, rate := b.calls, b.slowRate
	if key == allRoutes {
		baselineCalls, rate = a.baselineCalls, a.slowRate
	}
	if a.Pooled || !c.slowCalls.confirmed(baselineCalls, rate) || !c.slowCalls.conclusive(upstreams) {
		return "", false
	}
	return fmt.Sprintf("%s is slow on %d of %d upstreams; the old version's 95th percentile is %v",
		scopeName(key), len(c.slowCalls.hits), upstreams, b.timeQuantile.Round(time.Millisecond)), true
}

// scopeName names the calls under a key in a reason. A reason is stored and sent to other entries.
func scopeName(key string) string {
	if key == allRoutes {
		return "the version"
	}
	return "route " + key
}

// logLikelihoodRatio returns the logarithm of the likelihood of one outcome at the bad rate over that at the good rate.
func logLikelihoodRatio(hit bool, good, bad float64) float64 {
	bad = min(bad, maxRate)
	if hit {
		return math.Log(bad / good)
	}
	return math.Log((1 - bad) / (1 - good))
}

// maxRate bounds the rates that are compared, to keep the logarithms finite.
const maxRate = 0.99
