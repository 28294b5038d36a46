package flow_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/shared/target"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/flow"
	"github.com/balsamvale/balsamvale/pkg/traffic/poison"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

var start = time.Unix(1000, 0)

// newPool returns a pool with a number of upstreams, named from "a".
func newPool(upstreams int) *pool.Pool {
	p := pool.New(rand.New(rand.NewPCG(1, 1)), policy.LeastPredictedWait)
	cfg := &svcfg.Config{Service: svcrec.Service{Name: "s", Slots: 4, Conns: 100, Timeout: time.Second, ColdConcurrency: 1, RetryPercent: 10, Queue: 10}, EntryCount: 1}
	for i := range upstreams {
		cfg.Targets = append(cfg.Targets, target.Target{Upstream: upsrec.Upstream{
			Name: string(rune('a' + i)), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}})
	}
	p.Install(start, cfg)
	return p
}

var _ = Describe("Flow", func() {
	for _, tc := range []struct {
		name       string
		idempotent bool
		key        uint64
		claim      dedup.Result
		// causes are the results of the attempts in order.
		causes  []cause.Cause
		stage   stage.Stage
		outcome outcom.Outcome
		reason  reason.Reason
	}{
		{"delivers a response", true, 0, 0, []cause.Cause{cause.None}, stage.Deliver, outcom.Answered, 0},
		{"retries an idempotent call", true, 0, 0, []cause.Cause{cause.ConnBroken, cause.None}, stage.Deliver, outcom.Answered, 0},
		{"refuses a call that crashed two upstreams", true, 0, 0, []cause.Cause{cause.ConnBroken, cause.ConnBroken}, stage.Refuse, outcom.Unknown, reason.Poisoned},
		{"does not retry a call that may have run", false, 0, 0, []cause.Cause{cause.ConnBroken}, stage.Refuse, outcom.Unknown, reason.NotIdempotent},
		{"does not retry after a timeout", false, 0, 0, []cause.Cause{cause.Timeout}, stage.Refuse, outcom.Unknown, reason.NotIdempotent},
		{"does not retry after a mismatched answer", false, 0, 0, []cause.Cause{cause.AttemptMismatch}, stage.Refuse, outcom.Unknown, reason.NotIdempotent},
		{"retries a call that was shed", false, 0, 0, []cause.Cause{cause.Shed, cause.None}, stage.Deliver, outcom.Answered, 0},
		{"retries a call that was not sent", false, 0, 0, []cause.Cause{cause.Unsent, cause.None}, stage.Deliver, outcom.Answered, 0},
		{"reports not run when no attempt ran", false, 0, 0, []cause.Cause{cause.Shed, cause.Shed, cause.Unsent, cause.Shed}, stage.Refuse, outcom.NotRun, reason.RetryLimit},
		{"reports unknown once an attempt may have run", true, 0, 0, []cause.Cause{cause.Timeout, cause.Shed, cause.Shed, cause.Shed}, stage.Refuse, outcom.Unknown, reason.RetryLimit},
		{"delivers an error of a call that must not be retried", false, 0, 0, []cause.Cause{cause.Error}, stage.Deliver, outcom.Answered, 0},
		{"runs a call that acquired its key", false, 7, dedup.Acquired, []cause.Cause{cause.None}, stage.Deliver, outcom.Answered, 0},
		{"replays the saved response", false, 7, dedup.Answered, nil, stage.Replay, outcom.Answered, reason.Duplicate},
		{"reports unknown for a duplicate of a running call", false, 7, dedup.Unknown, nil, stage.Refuse, outcom.Unknown, reason.Duplicate},
		{"refuses another request with the key", false, 7, dedup.Mismatch, nil, stage.Refuse, outcom.NotRun, reason.KeyReused},
		{"reports unknown when the key cannot be claimed", false, 7, dedup.Unavailable, nil, stage.Refuse, outcom.Unknown, reason.ClaimFailed},
	} {
		It(tc.name, func() {
			now := start
			c := &call.Call{ID: 1, Service: "s", Idempotent: tc.idempotent, Buffered: true, Key: tc.key, Fingerprint: 9, Arrived: now, Deadline: now.Add(time.Second)}
			f := flow.New(c, newPool(6), poison.New())
			s := f.Start(now)
			if tc.key != 0 {
				Expect(s.Stage).To(Equal(stage.Claim))
				s = f.Claimed(now, tc.claim)
			}
			for _, ca := range tc.causes {
				Expect(s.Stage).To(Equal(stage.Send))
				now = now.Add(time.Millisecond)
				s = f.AttemptResult(now, s.Attempt, result.Result{Cause: ca})
			}
			Expect(s.Stage).To(Equal(tc.stage))
			Expect(s.Outcome).To(Equal(tc.outcome))
			Expect(s.Reason).To(Equal(tc.reason))
		})
	}

	It("does not hedge beside the last attempt", func() {
		c := &call.Call{Service: "s", Idempotent: true, Buffered: true, Arrived: start, Deadline: start.Add(time.Minute)}
		f := flow.New(c, newPool(tune.MaxAttempts+2), poison.New())
		s := f.Start(start)
		for range tune.MaxAttempts - 1 {
			s = f.AttemptResult(start, s.Attempt, result.Result{Cause: cause.Unsent})
		}
		Expect(s.Attempt).To(Equal(tune.MaxAttempts - 1))
		Expect(f.TimerFired(start.Add(time.Second)).Stage).To(Equal(stage.Wait))
	})

	for _, tc := range []struct {
		name  string
		ahead int
		stage stage.Stage
		out   outcom.Outcome
	}{
		{"a call in flight goes on", 0, stage.Wait, 0},
		{"a call that waits for an upstream is refused", 4 + tune.MaxBacklog, stage.Refuse, outcom.NotRun},
	} {
		It("is told that the entry stops: "+tc.name, func() {
			p := newPool(1)
			for range tc.ahead {
				Expect(flow.New(&call.Call{Service: "s", Buffered: true, Deadline: start.Add(time.Minute)}, p, poison.New()).Start(start).Stage).To(Equal(stage.Send))
			}
			f := flow.New(&call.Call{Service: "s", Buffered: true, Fingerprint: 9, Deadline: start.Add(time.Minute)}, p, poison.New())
			f.Start(start)
			s := f.Stop(start)
			Expect(s.Stage).To(Equal(tc.stage))
			Expect(s.Outcome).To(Equal(tc.out))
			Expect(f.Waiting()).To(BeFalse())
		})
	}

	for _, tc := range []struct {
		name    string
		attempt int
		noRetry bool
	}{
		{"that is itself a retry by the calling service", 1, false},
		{"for which the upstream says that a retry is useless", 0, true},
	} {
		It("does not retry a failed call "+tc.name, func() {
			c := &call.Call{Service: "s", Idempotent: true, Buffered: true, Attempt: tc.attempt, Depth: 3}
			f := flow.New(c, newPool(6), poison.New())
			s := f.Start(start)
			s = f.AttemptResult(start, s.Attempt, result.Result{Cause: cause.Error, Status: 503, NoRetry: tc.noRetry})
			Expect(s.Stage).To(Equal(stage.Deliver))
		})
	}
})
