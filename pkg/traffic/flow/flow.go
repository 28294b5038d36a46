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

// Flow is the state machine of one call; a single goroutine, the driver, calls its methods.
//
// Methods that handle an event return the next step. After a Send step the driver starts the attempt and waits; it
// reports the head of the response, or the failure, with AttemptResult.
type Flow struct {
	call   *call.Call
	pool   *pool.Pool
	poison *poison.Table
	// Wake is called by the pool with the later choice for a call that had to wait; the driver passes it to Woken.
	Wake func(choice.Choice)

	attempts []attempt
	// tried lists the names of the upstreams that the attempts went to.
	tried []string
	// inFlight is the number of attempts without a result.
	inFlight int
	// waiting is set while the call is queued in the pool or a call of Wake is still to come.
	waiting bool
	// admitted is set while the pool counts the call as admitted.
	admitted bool
	// hedged is set once a hedge was attempted; there is at most one.
	hedged bool
	// mayHaveRun is set once an upstream may have run the call, or an earlier call with the same idempotency key.
	mayHaveRun bool
	// noRetry is set once an upstream has said that a retry is useless.
	noRetry bool
	// probed lists the names of the upstreams probed since the last backoff.
	probed []string
	// probeRounds counts the rounds of probes that have ended.
	probeRounds int
	// stopping is set once the entry stops and no attempt may begin.
	stopping bool
	// backingOff is set while the call waits, outside the queue, before it probes again.
	backingOff bool
	// possibleRuns counts the attempts that an upstream may have run.
	possibleRuns int
	// timerAt is the TimerAt of the last step that send or wait returned.
	timerAt time.Time
}

// attempt is one sending of the call; it is open until its place at the upstream is released.
type attempt struct {
	choice choice.Choice
	open   bool
}

// New returns the flow of a call that the pool routes and the poison table may block.
func New(c *call.Call, p *pool.Pool, t *poison.Table) *Flow {
	return &Flow{call: c, pool: p, poison: t}
}

// OutcomeBeforeClaim returns the outcome of a call that is refused before its idempotency key is looked up.
//
// For a call with a key it is Unknown, because an earlier call with the same key may have run.
func OutcomeBeforeClaim(keyed bool) outcom.Outcome {
	if keyed {
		return outcom.Unknown
	}
	return outcom.NotRun
}

// Start returns the first step of the call.
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

// admit requests admission from the pool.
func (f *Flow) admit(now time.Time) step.Step {
	return f.stepFor(now, f.pool.Admit(now, f.call, f.Wake))
}

// probe starts a round of probes, if the service uses them, or goes on to choose an upstream.
func (f *Flow) probe(now time.Time) step.Step {
	targets, busy := f.pool.ProbeCandidates(now, f.call, f.probed)
	if len(targets) == 0 {
		if busy && f.canBackOff(now) {
			return f.backOff(now)
		}
		return f.pick(now)
	}
	for _, t := range targets {
		f.probed = append(f.probed, t.Name)
	}
	return step.Step{Stage: stage.Probe, ProbeTargets: targets, TimerAt: earlier(now.Add(tune.ProbeWait), f.call.Deadline)}
}

// Probed handles the end of a round of probes: a free upstream was found, all probes ended, or their time is up.
//
// While no upstream is free, others are probed, up to tune.ProbeRounds rounds in a row. Then the call backs off, if it can
// still meet its soft deadline, or requests an upstream from the pool although none was free.
func (f *Flow) Probed(now time.Time, free bool) step.Step {
	f.probeRounds++
	if free {
		return f.pick(now)
	}
	if f.probeRounds%tune.ProbeRounds != 0 {
		return f.probe(now)
	}
	if f.canBackOff(now) {
		return f.backOff(now)
	}
	return f.pick(now)
}

// canBackOff reports whether the call can wait for a free upstream and still meet its soft deadline.
func (f *Flow) canBackOff(now time.Time) bool {
	return !f.call.SoftDeadline.IsZero() && now.Add(tune.ProbeRetryDelay+f.pool.AvgRunTime()).Before(f.call.SoftDeadline)
}

// backOff waits for tune.ProbeRetryDelay before upstreams are probed again, including those probed before.
func (f *Flow) backOff(now time.Time) step.Step {
	f.backingOff, f.probed = true, nil
	return step.Step{Stage: stage.Wait, TimerAt: now.Add(tune.ProbeRetryDelay), Reason: reason.AtCapacity}
}

// Claimed handles the result of claiming the idempotency key.
func (f *Flow) Claimed(now time.Time, r dedup.Result) step.Step {
	switch r {
	case dedup.Acquired:
		return f.admit(now)
	case dedup.Answered:
		return step.Step{Stage: stage.Replay, Outcome: outcom.Answered, Reason: reason.Duplicate}
	case dedup.Unknown:
		f.mayHaveRun = true
		return f.refuse(reason.Duplicate)
	case dedup.Mismatch:
		return f.refuse(reason.KeyReused)
	default:
		// An earlier call with this key may have run, and only the store knows.
		f.mayHaveRun = true
		return f.refuse(reason.ClaimFailed)
	}
}

// Woken handles the pool's choice for a call that waited.
func (f *Flow) Woken(now time.Time, ch choice.Choice) step.Step {
	f.waiting = false
	return f.stepFor(now, ch)
}

// AttemptResult handles the head of the response to an attempt, or the failure of an attempt without a response.
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

// deliver delivers the response of an attempt.
func (f *Flow) deliver(id int) step.Step {
	return step.Step{Stage: stage.Deliver, Attempt: id, Choice: f.attempts[id].choice, Outcome: outcom.Answered}
}

// retryOrDeliver sends a call that got a server error to another upstream, or delivers the error if it cannot.
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

// TimerFired handles the expiry of the TimerAt of the last step.
//
// It refuses a call past its deadline, probes again after a backoff, or sends a hedge if the call allows one.
func (f *Flow) TimerFired(now time.Time) step.Step {
	if f.pastDeadline(now) {
		f.leaveQueue()
		return f.refuse(reason.Deadline)
	}
	if f.backingOff {
		f.backingOff = false
		return f.probe(now)
	}
	if f.stopping || f.inFlight == 0 || f.hedged || !f.call.Idempotent || !f.call.Buffered || len(f.attempts) >= tune.MaxAttempts {
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

// Close ends an attempt whose response was delivered or is no longer wanted.
func (f *Flow) Close(now time.Time, id int) { f.close(now, id) }

// Cancel ends the call because its caller disconnected, and closes all open attempts.
func (f *Flow) Cancel(now time.Time) step.Step {
	f.mayHaveRun = f.mayHaveRun || f.inFlight > 0
	f.leaveQueue()
	f.CloseOthers(now, -1)
	return f.refuse(reason.CallerGone)
}

// Stop refuses the call, because the entry stops, if no attempt is in flight. Otherwise the call goes on with that attempt alone.
func (f *Flow) Stop(now time.Time) step.Step {
	f.stopping = true
	if f.inFlight > 0 {
		return step.Step{Stage: stage.Wait, TimerAt: f.timerAt}
	}
	f.leaveQueue()
	f.CloseOthers(now, -1)
	return f.refuse(reason.Stopping)
}

// leaveQueue ends the wait of the call in the pool; it still waits afterwards if a call of Wake is under way.
func (f *Flow) leaveQueue() {
	if f.waiting {
		f.waiting = !f.pool.CancelWait(f.call)
	}
}

// Waiting reports whether the call is still queued in the pool or a call of Wake is still to come.
func (f *Flow) Waiting() bool { return f.waiting }

// ReleaseLate gives up a choice that arrived after the call had ended: its place at an upstream or its admission.
func (f *Flow) ReleaseLate(now time.Time, ch choice.Choice) {
	switch ch.Stage {
	case stage.Send:
		f.pool.Release(now, &ch)
	case stage.Probe:
		f.pool.ReleaseAdmission(now, f.call)
	}
}

// CloseOthers closes all attempts except winner, or all if it is negative, and gives up the admission of the call.
//
// The driver calls it before it delivers the response of the winner, so the transfer of the body does not count against the
// admission limit.
func (f *Flow) CloseOthers(now time.Time, winner int) {
	if f.admitted {
		f.admitted = false
		f.pool.ReleaseAdmission(now, f.call)
	}
	for id := range f.attempts {
		if id == winner || !f.attempts[id].open {
			continue
		}
		r := result.Result{Cause: cause.Canceled}
		f.pool.RecordResult(now, &f.attempts[id].choice, &r)
		f.close(now, id)
	}
}

// afterFailure returns the step after a failed attempt.
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
	if f.stopping {
		return f.refuse(reason.Stopping)
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

// mayRetry reports whether another attempt is allowed, apart from the retry budget.
func (f *Flow) mayRetry(now time.Time, r *result.Result) bool {
	if f.stopping || f.pastDeadline(now) || len(f.attempts) >= tune.MaxAttempts || f.call.Depth >= tune.MaxDepth {
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

// pick requests an upstream from the pool.
func (f *Flow) pick(now time.Time) step.Step {
	return f.stepFor(now, f.pool.Pick(now, f.call, f.tried, f.Wake))
}

// stepFor returns the step that carries out a choice of the pool.
func (f *Flow) stepFor(now time.Time, ch choice.Choice) step.Step {
	switch ch.Stage {
	case stage.Send:
		return f.send(now, ch)
	case stage.Probe:
		f.admitted = true
		return f.probe(now)
	case stage.Wait:
		f.waiting = true
		return step.Step{Stage: stage.Wait, TimerAt: f.call.Deadline, Choice: ch, Reason: ch.Reason}
	default:
		s := f.refuse(ch.Reason)
		s.Choice = ch
		return s
	}
}

// send returns the step for a new attempt, with a timer for its hedge if the call allows one.
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

// wait returns a step that waits for the next event until the deadline.
func (f *Flow) wait() step.Step {
	f.timerAt = f.call.Deadline
	return step.Step{Stage: stage.Wait, TimerAt: f.timerAt}
}

// refuse returns a step that ends the call, with outcome Unknown if an upstream may have run it.
func (f *Flow) refuse(why reason.Reason) step.Step {
	out := outcom.NotRun
	if f.mayHaveRun || f.inFlight > 0 {
		out = outcom.Unknown
	}
	return step.Step{Stage: stage.Refuse, Outcome: out, Reason: why, NoRetry: true}
}

// close releases the place of an open attempt at its upstream.
func (f *Flow) close(now time.Time, id int) {
	a := &f.attempts[id]
	if !a.open {
		return
	}
	a.open = false
	f.pool.Release(now, &a.choice)
}

// pastDeadline reports whether less than tune.MinRemainingTime is left until the deadline.
func (f *Flow) pastDeadline(now time.Time) bool {
	return !f.call.Deadline.IsZero() && f.call.Deadline.Sub(now) < tune.MinRemainingTime
}

// earlier returns the earlier of two times; a zero b means no limit.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// Target returns the name of the upstream that an attempt went to.
func (f *Flow) Target(id int) string { return f.attempts[id].choice.Target.Name }
