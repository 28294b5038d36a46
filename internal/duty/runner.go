package duty

/*
 counts.Meter --Ended--> own counts ----------+                       +--> storeTask.run ----> store
                                             v                       |
 peers --Take--> requests --> Runner.loop owns hold.Hold, ledger.Ledger --> handoverTask.run --> holder
                                             ^                       |
                              tick ----------+                       +--> reportTask.run ---> the platform's interface
*/

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/internal/counts"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/pkg/duties/ack"
	"github.com/balsamvale/balsamvale/pkg/duties/decis"
	"github.com/balsamvale/balsamvale/pkg/duties/handov"
	"github.com/balsamvale/balsamvale/pkg/duties/hold"
	"github.com/balsamvale/balsamvale/pkg/duties/ledger"
	"github.com/balsamvale/balsamvale/pkg/duties/usage"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
)

// ErrStopped is matched by the errors of handovers to an entry whose duties have ended.
var ErrStopped = eris.New("duties have stopped")

// Runner carries out the duty to report usage. Its function fields have to be set before Start.
type Runner struct {
	// CallStore carries out a request to the store.
	CallStore func(ctx context.Context, req kvreq.Request) kvresp.Response
	// SendUsage hands counts over to the holder of the duty.
	SendUsage func(ctx context.Context, addr netip.AddrPort, h handov.Handover) (ack.Ack, error)
	// Report sends the report of a window; the status is 0 without an answer.
	Report func(ctx context.Context, holder string, token int64, u usage.Usage) (status int, err error)
	// Active reports whether there is anything to count: the configuration has accounts.
	Active func() bool
	// Entries returns the number of entries, and Rank the index of this one among them.
	Entries func() int
	Rank    func() int
	// Meter counts the calls of this entry.
	Meter *counts.Meter

	clock clock.Clock
	log   *logs.Log
	self  member.Member
	from  string
	lease time.Duration
	// reportGap is the least time between two reports.
	reportGap time.Duration
	rand      *rand.Rand

	// The fields down to stopping belong to loop.
	hold      *hold.Hold
	ledger    *ledger.Ledger
	lastID    uint64
	active    bool
	loadedAt  time.Time
	proposal  *decis.Decisions
	writes    int
	decidedTo int64
	waiting   []waiter
	sendAt    time.Time
	collectAt time.Time
	// sending is set while a handover is under way, whose number is sends.
	sending bool
	sends   int
	// sentAt is when the latest handover began.
	sentAt time.Time
	// declined is set if the entry that was taken for the holder said that it is not.
	declined  bool
	reporting bool
	// failingSince is when the first of the latest reports failed without an answer; zero after an answer.
	failingSince time.Time
	// kept is set once all counts of an entry that ends are kept.
	kept     bool
	reportAt time.Time
	stopping chan struct{}

	requests  chan waiter
	responses chan kvresp.Response
	acks      chan handedOver
	reports   chan reported
	stops     chan chan struct{}
	done      chan struct{}

	// held is 1 while the entry holds the duty; the others count reports by their ends, and unreported is the number of windows that
	// are decided and not known to be accepted.
	held, accepted, refused, failed, unreported atomic.Int64
}

// waiter is a handover whose sender waits for the answer until a time.
type waiter struct {
	handover handov.Handover
	until    time.Time
	reply    chan ack.Ack
}

// handedOver is the end of a handover to the holder.
type handedOver struct {
	// number is that of the handover.
	number int
	ack    ack.Ack
	err    error
}

// reported is the end of a report.
type reported struct {
	window int64
	token  int64
	status int
	err    error
}

const (
	// tickInterval is the interval at which what is due is done.
	tickInterval = 100 * time.Millisecond
	// idleInterval is that interval while the configuration has no accounts.
	idleInterval = time.Second
	// answerTime is how long a handover waits until its counts are kept; peers wait a little longer.
	answerTime = 2 * time.Second
	// resendInterval is the time after which counts that are not decided are handed over again.
	resendInterval = 500 * time.Millisecond
	// maxFailing is the time for which reports fail without an answer until another entry gets the duty.
	maxFailing = 3 * time.Second
	// collectInterval is the interval at which a holder takes in its own counts.
	collectInterval = 300 * time.Millisecond
	// maxWork is the size in bytes up to which decisions are written; the store takes values of 1 MiB.
	maxWork = 900 << 10
	// firstRanks is the number of entries that look for a holder first, each rankDelay after the one before. The others look later,
	// spread over othersSpread.
	firstRanks   = 3
	rankDelay    = 150 * time.Millisecond
	othersSpread = 500 * time.Millisecond
	// usageDuty is the name of the duty in the keys of the store.
	usageDuty = "usage"
)

// New returns the runner of an entry, which does nothing before Start.
func New(c clock.Clock, log *logs.Log, self member.Member, o *option.Options) *Runner {
	rnd := rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Name))))
	r := &Runner{
		Meter: counts.New(c.Now(), o.UsageWindow),
		clock: c, log: log, self: self, from: fmt.Sprintf("%s.%d", self.Name, self.Incarnation), lease: o.DutyLease, rand: rnd,
		reportGap: max(50*time.Millisecond, time.Duration(2*float64(time.Second)/max(1, o.DutyRate))),
		hold:      hold.New(self, usageDuty, o.DutyLease, rnd), ledger: ledger.New(o.UsageWindow, o.UsageLate),
		requests: make(chan waiter), responses: make(chan kvresp.Response, 1), acks: make(chan handedOver, 1), reports: make(chan reported, 1),
		stops: make(chan chan struct{}), done: make(chan struct{}),
	}
	r.hold.Decode = codec.DecodeDuty
	return r
}

// Start starts the goroutine of the runner, which ends when ctx is done.
func (r *Runner) Start(ctx context.Context) { go r.loop(ctx) }

// Held reports whether the entry holds the duty.
func (r *Runner) Held() bool { return r.held.Load() == 1 }

// Counts returns the numbers of reports that were accepted, refused because of a higher token, and that failed otherwise, and the
// number of windows that are decided and not known to be accepted.
func (r *Runner) Counts() (accepted, refused, failed, unreported int64) {
	return r.accepted.Load(), r.refused.Load(), r.failed.Load(), r.unreported.Load()
}

// Take takes in the counts of another entry, if this entry holds the duty, and waits for a while until they are kept. Errors match
// ErrStopped.
func (r *Runner) Take(ctx context.Context, h handov.Handover) (ack.Ack, error) {
	w := waiter{handover: h, until: r.clock.Now().Add(answerTime), reply: make(chan ack.Ack, 1)}
	select {
	case r.requests <- w:
	case <-r.done:
		return ack.Ack{}, ErrStopped
	case <-ctx.Done():
		return ack.Ack{}, eris.Wrap(ErrStopped, ctx.Err().Error())
	}
	select {
	case a := <-w.reply:
		return a, nil
	case <-r.done:
		return ack.Ack{}, ErrStopped
	case <-ctx.Done():
		return ack.Ack{}, eris.Wrap(ErrStopped, ctx.Err().Error())
	}
}

// Stop hands over all counts and the duty, and returns when that is done or ctx is. No call may be counted any more.
func (r *Runner) Stop(ctx context.Context) {
	stopped := make(chan struct{})
	select {
	case r.stops <- stopped:
	case <-r.done:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-stopped:
	case <-r.done:
	case <-ctx.Done():
	}
}

// loop is the only goroutine that uses the hold and the ledger, until ctx is done.
func (r *Runner) loop(ctx context.Context) {
	defer close(r.done)
	tick, stop := r.clock.Timer(0)
	for {
		select {
		case <-tick:
			interval := tickInterval
			if !r.active {
				interval = idleInterval
			}
			tick, stop = r.clock.Timer(interval)
		case w := <-r.requests:
			r.take(w)
		case resp := <-r.responses:
			if r.hold.Awaits(resp.ID) {
				r.hold.HandleResponse(r.clock.Now(), resp)
			}
		case a := <-r.acks:
			r.handedOver(a)
		case rep := <-r.reports:
			r.reported(rep)
		case r.stopping = <-r.stops:
			// A handover under way may be answered too late.
			r.sending = false
		case <-ctx.Done():
			stop()
			return
		}
		r.advance(ctx)
	}
}

// advance does what is due.
func (r *Runner) advance(ctx context.Context) {
	r.active = r.active || r.Active()
	if !r.active {
		r.answerWaiting()
		if r.stopping != nil {
			r.finish()
		}
		return
	}
	now := r.clock.Now()
	if r.hold.Held(now) {
		r.lead(ctx, now)
	} else {
		r.proposal = nil
		r.follow(ctx, now)
	}
	r.callStore(ctx)
	r.answerWaiting()
	r.observe()
}

// callStore issues the request to the store that is due.
func (r *Runner) callStore(ctx context.Context) {
	if req, ok := r.hold.Next(r.clock.Now(), r.lastID+1); ok {
		r.lastID++
		go (&storeTask{runner: r, ctx: ctx, req: req}).run()
	}
}

// observe logs a change of the seat, and updates what the metrics show.
func (r *Runner) observe() {
	now := r.clock.Now()
	held := int64(0)
	if r.hold.Held(now) {
		held = 1
	}
	if was := r.held.Swap(held); was != held {
		token, _, _ := r.hold.Token(now)
		r.log.Info("duty", zap.String("duty", usageDuty), zap.Bool("held", held == 1), zap.Int64("token", token), zap.Stringer("seat", r.hold.Seat()))
	}
	r.unreported.Store(int64(r.ledger.Unreported()) * held)
}

// take takes in the counts of another entry, if this one holds the duty.
func (r *Runner) take(w waiter) {
	now := r.clock.Now()
	if !r.hold.Held(now) || !r.loadedAt.Equal(r.hold.TakenAt()) {
		w.reply <- ack.Ack{}
		return
	}
	r.ledger.Collect(w.handover)
	r.waiting = append(r.waiting, w)
}

// answerWaiting answers the handovers whose counts are kept, or that have waited long enough, and all when the entry does not hold
// the duty any more.
func (r *Runner) answerWaiting() {
	if len(r.waiting) == 0 {
		return
	}
	now := r.clock.Now()
	held := r.hold.Held(now)
	left := r.waiting[:0]
	for _, w := range r.waiting {
		a := ack.Ack{Holder: held, DecidedTo: r.ledger.DecidedTo()}
		// What is not written yet may be decided otherwise.
		a.DecidedTo = min(a.DecidedTo, r.decidedTo)
		last := a.DecidedTo
		if n := len(w.handover.Usages); n > 0 {
			last = w.handover.Usages[n-1].Window
		}
		a.Kept = held && w.handover.Leaving && r.ledger.Kept(w.handover.From)
		if held && now.Before(w.until) && a.DecidedTo < last && !a.Kept {
			left = append(left, w)
			continue
		}
		w.reply <- a
	}
	r.waiting = left
}

// reported handles the end of a report.
func (r *Runner) reported(rep reported) {
	r.reporting = false
	now := r.clock.Now()
	r.reportAt = now.Add(r.reportGap)
	r.log.Info("usage", zap.Int64("window", rep.window), zap.Int64("token", rep.token), zap.Int("status", rep.status), zap.Error(rep.err))
	if rep.status != 0 {
		r.failingSince = time.Time{}
	} else if r.failingSince.IsZero() {
		r.failingSince = now
	}
	switch rep.status {
	case http.StatusOK:
		r.accepted.Add(1)
		r.ledger.Reported(now, rep.window, true)
	case http.StatusConflict:
		r.refused.Add(1)
		r.ledger.Reported(now, rep.window, false)
		if token, _, _ := r.hold.Token(now); token == rep.token {
			r.hold.Yield(now, false)
		}
	default:
		r.failed.Add(1)
		r.ledger.Reported(now, rep.window, false)
		if !r.failingSince.IsZero() && now.Sub(r.failingSince) >= maxFailing {
			// This entry may be cut off from the platform's interface while others are not.
			r.failingSince = time.Time{}
			r.hold.Yield(now, false)
		}
	}
}
