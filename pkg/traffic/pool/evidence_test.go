package pool_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/events/fact"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
	"github.com/balsamvale/balsamvale/pkg/shared/share"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// Load pattern: 13 entries share a rollout, and each sees a few calls of the new version a second. None of them alone sees
// enough failures to call the version bad before it has had more calls than users allow.
var _ = Describe("Failures of a new version", func() {
	It("that 13 entries see one by one are enough for the one that gets the evidence of all", func() {
		const entries = 13
		newEntry := func() *pool.Pool {
			cfg := newConfig(4)
			cfg.EntryCount, cfg.Rollout = entries, "m"
			cfg.Shares = []share.Share{{Version: "v1", Permille: 500}, {Version: "v2", Permille: 500}}
			for i := range cfg.Targets {
				cfg.Targets[i].Version = fmt.Sprint("v", i%2+1)
			}
			return newPool(cfg)
		}
		rolledBack := false
		evaluator := newEntry()
		evaluator.OnFact = func(f fact.Fact) { rolledBack = rolledBack || f.Topic == topic.RolledBack }
		targets := []*target.Target{{}, {}}
		for i := range targets {
			targets[i].Name, targets[i].Version = fmt.Sprint("up-", 2*i+1), "v2"
		}
		for e := range entries {
			p := newEntry()
			now := start.Add(time.Second)
			p.OnFact = func(f fact.Fact) {
				Expect(f.Topic).To(Equal(topic.Evidence), "one entry alone does not call the version bad")
				evaluator.Merge(now, f)
			}
			ch := choice.Choice{Target: targets[e%2], At: now}
			p.RecordResult(now, &ch, &result.Result{Cause: cause.Error, Status: 500})
			p.PublishEvidence(now)
		}
		Expect(rolledBack).To(BeTrue())
	})
})
