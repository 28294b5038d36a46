package work

import (
	"math"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Estimator estimates the run times of the calls of one service by routing rule. The zero value knows no rule. It is not safe
// for concurrent use: its owner must lock it.
type Estimator struct {
	// rules holds at most tune.MaxWorkRules rules, by name.
	rules map[string]*rule
	// observed is the number of run times so far.
	observed uint64
	// differ is set while the run times of two rules differ clearly.
	differ bool
}

// rule holds the moving averages of the run times of one rule, in seconds, and of their squares.
type rule struct {
	samples      int
	mean, square float64
	// lastObserved is the value of Estimator.observed at the last run time of the rule.
	lastObserved uint64
}

// Observe adds the run time of one call of a rule. A new rule beyond the bound takes the place of the one that was not
// observed for the most calls.
func (e *Estimator) Observe(name string, run time.Duration) {
	e.observed++
	r := e.rules[name]
	if r == nil {
		r = e.add(name)
	}
	r.lastObserved = e.observed
	r.samples++
	w := max(tune.MinMeanWeight, 1/float64(r.samples))
	r.mean += w * (run.Seconds() - r.mean)
	r.square += w * (run.Seconds()*run.Seconds() - r.square)
	e.differ = e.rulesDiffer()
}

// RunTime returns the expected run time of a call of a rule, where mean is that of all calls of the service.
//
// While no two rules differ clearly, this is the mean, which rests on more calls. It also is for a rule with few calls.
func (e *Estimator) RunTime(name string, mean time.Duration) time.Duration {
	r := e.rules[name]
	if !e.differ || r == nil || r.samples < tune.MinWorkSamples {
		return mean
	}
	return time.Duration(r.mean * float64(time.Second))
}

// add adds a rule.
func (e *Estimator) add(name string) *rule {
	if e.rules == nil {
		e.rules = map[string]*rule{}
	}
	if len(e.rules) >= tune.MaxWorkRules {
		oldest := ""
		for n, r := range e.rules {
			if oldest == "" || r.lastObserved < e.rules[oldest].lastObserved {
				oldest = n
			}
		}
		delete(e.rules, oldest)
	}
	e.rules[name] = &rule{}
	return e.rules[name]
}

// rulesDiffer reports whether the longest mean exceeds the shortest one by tune.WorkFactor and by more than chance explains.
func (e *Estimator) rulesDiffer() bool {
	var short, long *rule
	for _, r := range e.rules {
		if r.samples < tune.MinWorkSamples {
			continue
		}
		if short == nil || r.mean < short.mean {
			short = r
		}
		if long == nil || r.mean > long.mean {
			long = r
		}
	}
	if short == nil || long.mean < tune.WorkFactor*short.mean {
		return false
	}
	return long.mean-short.mean > tune.WorkDeviations*math.Sqrt(short.meanVariance()+long.meanVariance())
}

// meanVariance returns the variance of the mean: that of the run times over the number of them that the mean rests on.
func (r *rule) meanVariance() float64 {
	n := min(float64(r.samples), 2/tune.MinMeanWeight-1)
	return max(0, r.square-r.mean*r.mean) / n
}
