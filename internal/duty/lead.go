package duty

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/pkg/duties/handov"
)

// lead does the work of the holder: it collects counts, decides windows and reports them.
func (r *Runner) lead(ctx context.Context, now time.Time) {
	if !r.loadedAt.Equal(r.hold.TakenAt()) {
		if !r.load(now) {
			return
		}
	}
	if r.proposal != nil && r.hold.Written() > r.writes {
		r.ledger.Written(*r.proposal)
		r.proposal = nil
		r.noteDecided(r.ledger.DecidedTo())
	}
	if !now.Before(r.collectAt) || r.stopping != nil {
		r.collectAt = now.Add(collectInterval)
		r.ledger.Collect(r.ownCounts(now))
	}
	if r.stopping != nil && r.proposal == nil && r.ledger.Kept(r.from) {
		r.kept = true
		r.hold.Yield(now, true)
		return
	}
	r.propose(now)
	token, until, ok := r.hold.Token(now)
	if !ok || r.reporting || now.Before(r.reportAt) {
		return
	}
	if u, ok := r.ledger.NextReport(now); ok {
		r.reporting = true
		go (&reportTask{runner: r, ctx: ctx, usage: u, token: token, until: until}).run()
	}
}

// load takes over what was decided before this entry began to hold the duty. It reports false, and gives the duty up, if that cannot
// be read: nothing may be decided without it.
func (r *Runner) load(now time.Time) bool {
	stored, err := codec.DecodeDecisions(r.hold.Work())
	if err != nil {
		r.log.Warn("duty", zap.String("duty", usageDuty), zap.Error(err))
		r.hold.Yield(now, false)
		return false
	}
	r.loadedAt, r.proposal = r.hold.TakenAt(), nil
	r.ledger.Load(now, stored, len(r.hold.Work()) > 0)
	r.noteDecided(r.ledger.DecidedTo())
	return true
}

// ownCounts returns the counts of this entry that are not known to be decided.
func (r *Runner) ownCounts(now time.Time) handov.Handover {
	return handov.Handover{From: r.from, Usages: r.Meter.Ended(now, r.stopping != nil), Leaving: r.stopping != nil, DecidedTo: r.decidedTo}
}

// noteDecided forgets counts that are decided.
func (r *Runner) noteDecided(window int64) {
	if window > r.decidedTo {
		r.decidedTo = window
		r.Meter.Forget(window)
	}
}

// propose writes what has to be decided.
func (r *Runner) propose(now time.Time) {
	if r.proposal != nil {
		return
	}
	next, changed := r.ledger.Decide(now, r.Entries())
	if !changed {
		return
	}
	work, err := codec.EncodeDecisions(next)
	for err == nil && len(work) > maxWork && len(next.Carry) > 0 {
		// The counts of some entries that have ended are lost rather than those of all.
		for _, h := range next.Carry[len(next.Carry)/2:] {
			r.ledger.Drop(h.From)
		}
		next.Carry = next.Carry[:len(next.Carry)/2]
		work, err = codec.EncodeDecisions(next)
	}
	if err != nil || len(work) > maxWork {
		r.log.Warn("duty", zap.String("duty", usageDuty), zap.Int("size", len(work)), zap.String("text", "decisions that cannot be written"), zap.Error(err))
		return
	}
	if r.hold.Propose(work) {
		r.proposal, r.writes = &next, r.hold.Written()
	}
}
