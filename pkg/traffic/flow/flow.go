package flow

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/choice"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/calls/stage"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/traffic/poison"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// Flow is the state of one call; a single goroutine drives it.
//
// Each method returns the next step. After Send the driver starts the attempt and waits;
// it reports the head of an answer, or the lack of one, with Headed.
type Flow struct {
	call   *call.Call
	pool   *pool.Pool
	poison *poison.Table
	// Wake is handed to the pool for calls that have to wait; the driver then calls Woken.
	Wake func(choice.Choice)

	attempts []attempt
	tried    []string
	inFlight int
	waiting  bool
	// admitted is set while the pool counts the call as admitted.
	admitted bool
	hedged   bool
	// mayHaveRun is set once an upstream may have run the call.
	mayHaveRun bool
	noRetry    bool
	// probed names the upstreams that were asked for their load, in so many rounds.
	probed []string
	rounds int
	// backingOff is set while the call waits for a free upstream without a place in the queue.
	backingOff bool
	// possibleRuns counts the attempts that an upstream may have run.
	possibleRuns int
	timerAt      time.Time
}

type attempt struct {
	choice choice.Choice
	open   bool
}

// New returns the flow of a call.
func New(c *call.Call, p *pool.Pool, t *poison.Table) *Flow {
	return &Flow{call: c, pool: p, poison: t}
}

// OutcomeBeforeClaim returns the fate of a call that is refused before its idempotency key could be looked up.
//
// An earlier sending under the same key may have run.
func OutcomeBeforeClaim(keyed bool) outcom.Outcome {
	if keyed {
		return outcom.Unknown
	}
	return outcom.NotRun
}

// Start begins the call.
func (f *Flow) Start(now time.Time) step.Step {
	if f.poison.Blocked(now, f.call.Fingerprint) {
		f.mayHaveRun = OutcomeBeforeClaim(f.call.Key != 0) == outcom.Unknown
		return f.refuse(reason.Poisoned)
	}
	if f.call.Key != 0 {
		return step.Step{Stage: stage.Claim, TimerAt: f.call.Deadline}
	}
	return f.admit(now)
}

// admit waits until the pool admits the call.
func (f *Flow) admit(now time.Time) step.Step {
	return f.stepFor(now, f.pool.Admit(now, f.call, f.Wake))
}

// probe asks some upstreams for their load, where the service wants that, before the first choice.
func (f *Flow) probe(now time.Time) step.Step {
	asked, busy := f.pool.ProbeCandidates(now, f.call, f.probed)
	if len(asked) == 0 {
		if busy && f.canBackOff(now) {
			return f.backOff(now)
		}
		return f.pick(now)
	}
	for _, t := range asked {
		f.probed = append(f.probed, t.Name)
	}
	return step.Step{Stage: stage.Probe, ProbeTargets: asked, TimerAt: earlier(now.Add(tune.ProbeWait), f.call.Deadline)}
}

// Probed goes on once a free upstream is known, all have answered, or the time for that has passed.
//
// While none is free, others are asked, and then the call holds for a moment as long as it can still make its goal.
func (f *Flow) Probed(now time.Time, free bool) step.Step {
	f.rounds++
	if free {
		return f.pick(now)
	}
	if f.rounds%tune.ProbeRounds != 0 {
		return f.probe(now)
	}
	if f.canBackOff(now) {
		return f.backOff(now)
	}
	return f.pick(now)
}

// canBackOff reports whether the call can wait for a free upstream and still make its goal.
func (f *Flow) canBackOff(now time.Time) bool {
	return !f.call.SoftDeadline.IsZero() && now.Add(tune.ProbeRetryDelay+f.pool.AvgRunTime()).Before(f.call.SoftDeadline)
}

// backOff waits for a moment before upstreams are asked again.
func (f *Flow) backOff(now time.Time) step.Step {
	f.backingOff, f.probed = true, nil
	return step.Step{Stage: stage.Wait, TimerAt: now.Add(tune.ProbeRetryDelay), Reason: reason.AtCapacity}
}

// Claimed goes on after the attempt to claim the idempotency key.
func (f *Flow) Claimed(now time.Time, g dedup.Result) step.Step {
	switch g {
	case dedup.Acquired:
		return f.admit(now)
	case dedup.Answered:
		return step.Step{Stage: stage.Replay, Outcome: outcom.Answered, Reason: reason.Duplicate}
	case dedup.Unknown:
		f.mayHaveRun = true
		return f.refuse(reason.Duplicate)
	default:
		// An earlier sending under this key may have run, and only the store knows.
		f.mayHaveRun = true
		return f.refuse(reason.ClaimFailed)
	}
}

// Woken goes on after the pool's later choice for a call that waited.
func (f *Flow) Woken(now time.Time, ch choice.Choice) step.Step {
	f.waiting = false
	return f.stepFor(now, ch)
}

// AttemptResult goes on after an attempt brought the head of an answer or failed without one.
func (f *Flow) AttemptResult(now time.Time, id int, r result.Result) step.Step {
	a := &f.attempts[id]
	f.inFlight--
	f.pool.RecordResult(now, &a.choice, &r)
	if r.MayHaveRun() {
		f.mayHaveRun = true
		f.possibleRuns++
	}
	f.noRetry = f.noRetry || r.NoRetry
	if r.Cause == cause.ConnBroken {
		f.poison.RecordCrash(now, f.call.Fingerprint)
	}
	if r.Cause == cause.None {
		f.poison.RecordSuccess(f.call.Fingerprint)
	}
	if r.Cause == cause.None {
		return f.deliver(id)
	}
	if r.Cause == cause.Error && f.inFlight == 0 {
		return f.retryOrDeliver(now, id, &r)
	}
	f.close(now, id)
	return f.afterFailure(now, &r)
}

func (f *Flow) deliver(id int) step.Step {
	return step.Step{Stage: stage.Deliver, Attempt: id, Choice: f.attempts[id].choice, Outcome: outcom.Answered}
}

// retryOrDeliver sends a call that failed to another upstream, or delivers the failure if it cannot.
func (f *Flow) retryOrDeliver(now time.Time, id int, r *result.Result) step.Step {
	if !f.mayRetry(now, r) || !f.pool.TakeRetry() {
		return f.deliver(id)
	}
	ch := f.pool.Pick(now, f.call, f.tried, nil)
	if ch.Stage != stage.Send {
		return f.deliver(id)
	}
	f.close(now, id)
	return f.send(now, ch)
}

// TimerFired goes on when the time of the last step's alarm has come.
func (f *Flow) TimerFired(now time.Time) step.Step {
	if f.pastDeadline(now) {
		return f.refuse(reason.Deadline)
	}
	if f.backingOff {
		f.backingOff = false
		return f.probe(now)
	}
	if f.inFlight == 0 || f.hedged || !f.call.Idempotent || !f.call.Buffered {
		return f.wait()
	}
	f.hedged = true
	if f.call.MaxRuns > 0 && f.possibleRuns+f.inFlight >= f.call.MaxRuns || !f.pool.TakeRetry() {
		return f.wait()
	}
	ch := f.pool.Pick(now, f.call, f.tried, nil)
	if ch.Stage != stage.Send {
		return f.wait()
	}
	return f.send(now, ch)
}

// Close ends an attempt whose answer was delivered or is no longer wanted.
func (f *Flow) Close(now time.Time, id int) { f.close(now, id) }

// Cancel ends the call because its caller went away, and closes what is open.
func (f *Flow) Cancel(now time.Time) step.Step {
	f.mayHaveRun = f.mayHaveRun || f.inFlight > 0
	if f.waiting {
		f.waiting = !f.pool.CancelWait(f.call)
	}
	f.CloseOthers(now, -1)
	return f.refuse(reason.CallerGone)
}

// Waiting reports whether the pool still holds the call or its wake is under way.
func (f *Flow) Waiting() bool { return f.waiting }

// ReleaseLate returns a choice that came after the call had ended.
func (f *Flow) ReleaseLate(now time.Time, ch choice.Choice) {
	switch ch.Stage {
	case stage.Send:
		f.pool.Release(now, &ch)
	case stage.Probe:
		f.pool.ReleaseAdmission(now)
	}
}

// CloseOthers closes all attempts but one, as when that one has won, and lets the pool admit another call.
func (f *Flow) CloseOthers(now time.Time, but int) {
	if f.admitted {
		f.admitted = false
		f.pool.ReleaseAdmission(now)
	}
	for id := range f.attempts {
		if id == but || !f.attempts[id].open {
			continue
		}
		r := result.Result{Cause: cause.Canceled}
		f.pool.RecordResult(now, &f.attempts[id].choice, &r)
		f.close(now, id)
	}
}

// afterFailure decides what follows a failed attempt.
func (f *Flow) afterFailure(now time.Time, r *result.Result) step.Step {
	if f.inFlight > 0 {
		return f.wait()
	}
	if f.pastDeadline(now) {
		return f.refuse(reason.Deadline)
	}
	if r.MayHaveRun() && !f.call.Idempotent {
		return f.refuse(reason.NotIdempotent)
	}
	if f.poison.Blocked(now, f.call.Fingerprint) {
		return f.refuse(reason.Poisoned)
	}
	if !f.mayRetry(now, r) {
		return f.refuse(reason.RetryLimit)
	}
	if !r.NotSent() && !f.pool.TakeRetry() {
		return f.refuse(reason.RetryBudget)
	}
	return f.pick(now)
}

// mayRetry reports whether rules other than the budget allow another attempt.
func (f *Flow) mayRetry(now time.Time, r *result.Result) bool {
	if f.pastDeadline(now) || len(f.attempts) >= tune.MaxAttempts || f.call.Depth >= tune.MaxDepth {
		return false
	}
	if f.call.MaxRuns > 0 && f.possibleRuns+f.inFlight >= f.call.MaxRuns {
		return false
	}
	if !f.call.Buffered && !r.NotSent() {
		return false
	}
	if !r.MayHaveRun() {
		return true
	}
	return f.call.Idempotent && f.call.Attempt == 0 && !f.noRetry
}

func (f *Flow) pick(now time.Time) step.Step {
	return f.stepFor(now, f.pool.Pick(now, f.call, f.tried, f.Wake))
}

func (f *Flow) stepFor(now time.Time, ch choice.Choice) step.Step {
	switch ch.Stage {
	case stage.Send:
		return f.send(now, ch)
	case stage.Probe:
		f.admitted = true
		return f.probe(now)
	case stage.Wait:
		f.waiting = true
		return step.Step{Stage: stage.Wait, Choice: ch, Reason: ch.Reason}
	default:
		s := f.refuse(ch.Reason)
		s.Choice = ch
		return s
	}
}

func (f *Flow) send(now time.Time, ch choice.Choice) step.Step {
	f.attempts = append(f.attempts, attempt{choice: ch, open: true})
	f.tried = append(f.tried, ch.Target.Name)
	f.inFlight++
	f.timerAt = f.call.Deadline
	if ch.HedgeDelay > 0 && !f.hedged && f.call.Idempotent && f.call.Buffered {
		f.timerAt = earlier(now.Add(ch.HedgeDelay), f.call.Deadline)
	}
	return step.Step{Stage: stage.Send, Attempt: len(f.attempts) - 1, Choice: ch, TimerAt: f.timerAt, Reason: ch.Reason}
}

func (f *Flow) wait() step.Step {
	f.timerAt = f.call.Deadline
	return step.Step{Stage: stage.Wait, TimerAt: f.timerAt}
}

func (f *Flow) refuse(why reason.Reason) step.Step {
	ft := outcom.NotRun
	if f.mayHaveRun || f.inFlight > 0 {
		ft = outcom.Unknown
	}
	return step.Step{Stage: stage.Refuse, Outcome: ft, Reason: why, NoRetry: true}
}

func (f *Flow) close(now time.Time, id int) {
	a := &f.attempts[id]
	if !a.open {
		return
	}
	a.open = false
	f.pool.Release(now, &a.choice)
}

func (f *Flow) pastDeadline(now time.Time) bool {
	return !f.call.Deadline.IsZero() && f.call.Deadline.Sub(now) < tune.MinRemainingTime
}

// earlier returns the earlier of two times, of which the second may be zero.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// Target returns the name of the upstream that an attempt went to.
func (f *Flow) Target(id int) string { return f.attempts[id].choice.Target.Name }
