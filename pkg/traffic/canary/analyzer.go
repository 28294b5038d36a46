package canary

import (
	"fmt"
	"math"
	"time"

	"github.com/balsamvale/balsamvale/pkg/events/tally"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Analyzer is a sequential test of one version move; its owner locks it.
//
// Cumulative sums (Page's CUSUM) of log likelihood ratios are kept for failures and for slow
// answers, over the whole new version and over each of its routes. The old version on the same
// route gives what is normal. One upstream alone convicts no version that runs on more.
type Analyzer struct {
	routes map[string]*baseline
	// cusums are kept by route, and under "" for all routes.
	cusums map[string]*cusums
	// baselineCalls is the number of calls of the old version, and slows its rate of slow answers of late.
	baselineCalls int
	slowRate      float64
	// mean is that of the old version's times on all routes, and fars the rate of those far beyond it.
	mean        time.Duration
	outlierRate float64
	// aggregate are the sums over what all entries saw.
	aggregate cusums
}

// baseline is what the old version shows on a route.
type baseline struct {
	calls int
	// failRate and slows are the rates of failures and of slow answers of late.
	failRate float64
	slowRate float64
	// timeQuantile is the tracked quantile of the old version's times.
	timeQuantile time.Duration
}

type cusums struct {
	fail cusum
	slow cusum
}

// cusum is one cumulative sum with the hits behind it, by upstream.
type cusum struct {
	value float64
	hits  map[string]int
	total int
	// exceeded is set once the sum reached the limit, after that many calls of the old version.
	exceeded           bool
	baselineAtExceeded int
}

// add takes in an outcome; a sum that falls to 0 forgets its hits.
func (s *cusum) add(upstream string, hit bool, good, bad float64, olds int) {
	s.value += logLikelihoodRatio(hit, good, bad)
	if s.value <= 0 {
		*s = cusum{}
		return
	}
	if !hit {
		return
	}
	if s.hits == nil {
		s.hits = map[string]int{}
	}
	s.hits[upstream]++
	s.total++
	if s.value >= tune.CanaryLLRLimit && !s.exceeded {
		s.exceeded, s.baselineAtExceeded = true, olds
	}
}

// confirmed reports whether the old version did well while the sum was high; if not, the evidence is void.
func (s *cusum) confirmed(olds int, rate float64) bool {
	if !s.exceeded || olds-s.baselineAtExceeded < tune.CanaryBaselineCalls {
		return false
	}
	if rate > tune.CanaryCommonSlowRate {
		*s = cusum{}
		return false
	}
	return true
}

// conclusive reports whether the sum is high enough, and not because of a single upstream.
func (s *cusum) conclusive(upstreams int) bool {
	if s.value < tune.CanaryLLRLimit || len(s.hits) < min(upstreams, tune.CanaryMinUpstreams) {
		return false
	}
	if upstreams < tune.CanaryMinUpstreams {
		return true
	}
	for _, n := range s.hits {
		if float64(n) > tune.CanaryMaxUpstreamPart*float64(s.total) {
			return false
		}
	}
	return true
}

// New returns a judge without evidence.
func New() *Analyzer { return &Analyzer{routes: map[string]*baseline{}, cusums: map[string]*cusums{}} }

// RecordBaseline takes in a call of the old version, and returns why the new one is bad once that is sure.
func (j *Analyzer) RecordBaseline(route string, upstreams int, failed bool, took time.Duration) (why string, bad bool) {
	j.recordBaseline(route, failed, took)
	n := j.routes[route]
	for _, of := range []string{route, allRoutes} {
		if s := j.cusums[of]; s != nil && s.slow.exceeded {
			if why, bad := j.checkSlow(of, s, upstreams, n); bad {
				return why, true
			}
		}
	}
	return "", false
}

func (j *Analyzer) recordBaseline(route string, failed bool, took time.Duration) {
	n := j.routes[route]
	if n == nil {
		n = &baseline{timeQuantile: took}
		j.routes[route] = n
	}
	n.calls++
	j.baselineCalls++
	n.failRate += tune.CanaryRateWeight * (hit(failed) - n.failRate)
	if failed {
		return
	}
	j.outlierRate += tune.CanaryRateWeight * (hit(j.isOutlier(took)) - j.outlierRate)
	j.mean += time.Duration(max(tune.MinMeanWeight, 1/float64(j.baselineCalls)) * float64(took-j.mean))
	n.slowRate += tune.CanaryRateWeight * (hit(n.isSlow(took)) - n.slowRate)
	j.slowRate += tune.CanaryRateWeight * (hit(n.isSlow(took)) - j.slowRate)
	n.updateQuantile(took)
}

func hit(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// isSlow reports whether an answer took clearly longer than is normal.
func (n *baseline) isSlow(took time.Duration) bool {
	return took > time.Duration(tune.CanarySlowFactor*float64(n.timeQuantile))
}

// updateQuantile moves the tracked quantile: up by much for a slower answer, down by little for a faster one.
func (n *baseline) updateQuantile(took time.Duration) {
	unit := float64(n.timeQuantile) * tune.CanaryQuantileStep
	if took > n.timeQuantile {
		n.timeQuantile += time.Duration(unit * tune.CanarySlowQuantile)
	} else {
		n.timeQuantile -= time.Duration(unit * (1 - tune.CanarySlowQuantile))
	}
}

// IsSlow reports whether a call that was given up after a time is a slow one in any case.
func (j *Analyzer) IsSlow(route string, took time.Duration) bool {
	n := j.routes[route]
	return n != nil && n.calls >= tune.CanaryMinRouteCalls && n.isSlow(took)
}

// IsSlowCanary reports whether an answer of the new version is a slow one, also where the entry sees too few calls of a route for
// what is normal there: then it has to be far beyond the mean of all.
func (j *Analyzer) IsSlowCanary(route string, took time.Duration) bool {
	if n := j.routes[route]; n != nil && n.calls >= tune.CanaryMinRouteCalls {
		return n.isSlow(took)
	}
	return j.isOutlier(took)
}

// isOutlier reports whether a time is far beyond the mean of the old version, once that is known.
func (j *Analyzer) isOutlier(took time.Duration) bool {
	return j.baselineCalls >= tune.CanaryBaselineCalls && took > tune.CanaryMeanFactor*j.mean
}

// RecordCanary takes in a call of the new version, and returns why it is bad once that is sure.
func (j *Analyzer) RecordCanary(upstream, route string, upstreams int, failed bool, took time.Duration) (why string, bad bool) {
	n := j.routes[route]
	if n == nil || n.calls < tune.CanaryMinRouteCalls {
		n = &baseline{}
	}
	for _, of := range []string{route, allRoutes} {
		if why, bad := j.addOutcome(of, upstream, upstreams, n, failed, took); bad {
			return why, true
		}
	}
	return "", false
}

// RecordTally takes in what an entry saw of the new version at one upstream, and returns why it is bad once that is sure.
//
// That entry has compared times with those of the old version there; here only the rate of such answers is.
func (j *Analyzer) RecordTally(t tally.Tally, upstreams int) (why string, bad bool) {
	s := &j.aggregate
	good := min(max(tune.CanaryGoodFailureRate, 2*j.worstFails()), highestRate)
	slow := min(max(tune.CanaryGoodSlowRate, 2*j.outlierRate), highestRate)
	for i := range t.Calls {
		s.fail.add(t.Upstream, i < t.Failures, good, max(tune.CanaryBadFailureRate, 2*good), j.baselineCalls)
		if i >= t.Failures {
			s.slow.add(t.Upstream, i < t.Failures+t.SlowCalls, slow, max(tune.CanaryBadSlowRate, 2*slow), j.baselineCalls)
		}
	}
	switch {
	case s.fail.conclusive(upstreams):
		return fmt.Sprintf("the version fails on %d of %d upstreams, as several entries saw", len(s.fail.hits), upstreams), true
	case s.slow.confirmed(j.baselineCalls, j.outlierRate) && s.slow.conclusive(upstreams):
		return fmt.Sprintf("the version is slow on %d of %d upstreams, as several entries saw; the old version's mean is %v",
			len(s.slow.hits), upstreams, j.mean.Round(time.Millisecond)), true
	}
	return "", false
}

// worstFails is the rate of failures of the old version on its worst route.
func (j *Analyzer) worstFails() float64 {
	worst := 0.0
	for _, n := range j.routes {
		worst = max(worst, n.failRate)
	}
	return worst
}

// allRoutes is the name under which the sums over all routes are kept.
const allRoutes = ""

// addOutcome adds a call to the sums of a route, or of all routes.
func (j *Analyzer) addOutcome(of, upstream string, upstreams int, n *baseline, failed bool, took time.Duration) (string, bool) {
	s := j.cusums[of]
	if s == nil {
		s = &cusums{}
		j.cusums[of] = s
	}
	olds := n.calls
	if of == allRoutes {
		olds = j.baselineCalls
	}
	good := min(max(tune.CanaryGoodFailureRate, 2*n.failRate), highestRate)
	s.fail.add(upstream, failed, good, max(tune.CanaryBadFailureRate, 2*good), olds)
	if s.fail.conclusive(upstreams) {
		return fmt.Sprintf("%s fails on %d of %d upstreams; the old version fails %.1f%%", scope(of), len(s.fail.hits), upstreams, 100*n.failRate), true
	}
	if failed || n.timeQuantile == 0 {
		return "", false
	}
	good = min(max(tune.CanaryGoodSlowRate, 2*n.slowRate), highestRate)
	s.slow.add(upstream, n.isSlow(took), good, max(tune.CanaryBadSlowRate, 2*good), olds)
	return j.checkSlow(of, s, upstreams, n)
}

// checkSlow convicts the new version for slow answers, while the old one is not slow as well.
func (j *Analyzer) checkSlow(of string, s *cusums, upstreams int, n *baseline) (string, bool) {
	olds, rate := n.calls, n.slowRate
	if of == allRoutes {
		olds, rate = j.baselineCalls, j.slowRate
	}
	if !s.slow.confirmed(olds, rate) || !s.slow.conclusive(upstreams) {
		return "", false
	}
	return fmt.Sprintf("%s is slow on %d of %d upstreams; the old version's 95th percentile is %v",
		scope(of), len(s.slow.hits), upstreams, n.timeQuantile.Round(time.Millisecond)), true
}

func scope(of string) string {
	if of == allRoutes {
		return "the version"
	}
	return "route " + of
}

// logLikelihoodRatio is the log likelihood ratio of one outcome under a bad rate against a good one.
func logLikelihoodRatio(hit bool, good, bad float64) float64 {
	bad = min(bad, highestRate)
	if hit {
		return math.Log(bad / good)
	}
	return math.Log((1 - bad) / (1 - good))
}

// highestRate keeps the logarithms finite.
const highestRate = 0.99
