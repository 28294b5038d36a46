package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/grant"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/verb"
	"github.com/balsamvale/balsamvale/pkg/traffic/bucket"
)

// Keeper claims keys for the calls of one entry; it is safe for concurrent use.
type Keeper struct {
	// Get and Swap call the store.
	Get  func(ctx context.Context, key string) (item.Item, error)
	Swap func(ctx context.Context, it item.Item, expect, lease int64) (bool, item.Item, error)
	// Entries, when set, tells how many entries share the store's writes.
	Entries func() int

	clock   clock.Clock
	owner   string
	mu      sync.Mutex
	workers map[string]*worker
	// paid is the time up to which writes have been taken from the budget.
	paid time.Time
}

// New returns a keeper for an entry, which is named by owner for each of its starts.
func New(c clock.Clock, owner string) *Keeper {
	return &Keeper{clock: c, owner: owner, workers: map[string]*worker{}}
}

// worker serves one bucket, with at most one store call at a time.
type worker struct {
	keeper *Keeper
	key    string
	mu     sync.Mutex
	bucket *bucket.Bucket
	busy   bool
	// errs counts the store calls in a row whose outcome is not known; run alone uses it.
	errs int
	news chan struct{}
}

type outcome struct {
	grant  grant.Result
	answer answer.Answer
}

// Claim claims a key for an attempt, and returns the remembered answer if there is one.
func (k *Keeper) Claim(ctx context.Context, service string, key, attempt uint64, until time.Time) (grant.Result, answer.Answer) {
	w := k.worker(service, key)
	got := make(chan outcome, 1)
	w.mu.Lock()
	w.bucket.Claim(key, attempt, until, func(g grant.Result, a answer.Answer) { got <- outcome{g, a} })
	w.mu.Unlock()
	w.kick()
	timeout, stop := k.clock.Timer(tune.ClaimTimeout)
	defer stop()
	select {
	case o := <-got:
		return o.grant, o.answer
	case <-timeout:
	case <-ctx.Done():
	}
	w.mu.Lock()
	held := w.bucket.Abandon(k.clock.Now(), key, attempt)
	w.mu.Unlock()
	w.kick()
	if held {
		return grant.Unknown, answer.Answer{}
	}
	return grant.Unavailable, answer.Answer{}
}

// Settle records how the call that holds a key ended.
func (k *Keeper) Settle(service string, key, attempt uint64, st state.State, a answer.Answer) {
	w := k.worker(service, key)
	w.mu.Lock()
	w.bucket.Complete(k.clock.Now(), key, attempt, st, a)
	w.mu.Unlock()
	w.kick()
}

func (k *Keeper) worker(service string, key uint64) *worker {
	name := keys.Claim(service, int(key%tune.ClaimBuckets))
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.workers[name]
	if w == nil {
		w = &worker{keeper: k, key: name, bucket: bucket.New(k.owner), news: make(chan struct{}, 1)}
		k.workers[name] = w
	}
	return w
}

// kick starts the worker unless it runs already.
func (w *worker) kick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.busy {
		w.busy = true
		go w.run()
		return
	}
	select {
	case w.news <- struct{}{}:
	default:
	}
}

// run carries out what the bucket plans until nothing is left to do.
func (w *worker) run() {
	tries := 0
	for {
		now := w.keeper.clock.Now()
		w.mu.Lock()
		if tries >= tune.MaxClaimAttempts || w.errs >= tune.MaxClaimErrors {
			w.bucket.FailPending()
			tries, w.errs = 0, 0
		}
		v, value, expect, ok := w.bucket.Plan(now)
		next, later := w.bucket.NextPlanAt(now)
		if !ok && !later {
			w.busy = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		switch {
		case !ok:
			w.sleep(next.Sub(now))
		case w.step(v, value, expect):
			tries = 0
		default:
			tries++
			w.sleep(jitter(tries))
		}
	}
}

// note counts failures in a row.
func (w *worker) note(err error) {
	if err == nil {
		w.errs = 0
		return
	}
	w.errs++
}

// sleep waits, but not past a new claim.
func (w *worker) sleep(d time.Duration) {
	t, stop := w.keeper.clock.Timer(d)
	defer stop()
	select {
	case <-t:
	case <-w.news:
	}
}

// jitter is the pause after a failure, which doubles with each.
func jitter(tries int) time.Duration {
	most := min(tune.MinBackoff<<min(tries, 8), tune.MaxBackoff) / 4
	return time.Duration(rand.Int64N(int64(most))) + time.Millisecond
}

// take waits for the right to make one write.
func (k *Keeper) take() {
	k.mu.Lock()
	now := k.clock.Now()
	entries := 1
	if k.Entries != nil {
		entries = max(1, k.Entries())
	}
	gap := time.Second * time.Duration(entries) / tune.ClaimWriteRate
	k.paid = later(k.paid, now.Add(-gap*tune.ClaimBurst)).Add(gap)
	wait := k.paid.Sub(now)
	k.mu.Unlock()
	if wait <= 0 {
		return
	}
	t, stop := k.clock.Timer(wait)
	defer stop()
	<-t
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// step makes one store call, and reports whether it brought the bucket on.
func (w *worker) step(v verb.Op, value []claim.Claim, expect int64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), tune.StoreTimeout)
	defer cancel()
	if v == verb.Get {
		return w.get(ctx)
	}
	w.keeper.take()
	data, err := codec.EncodeClaims(value)
	if err != nil {
		return false
	}
	done, it, err := w.keeper.Swap(ctx, item.Item{Key: w.key, Value: data}, expect, 0)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(err)
	if err != nil || !done {
		w.bucket.Invalidate()
		return false
	}
	w.bucket.SwapDone(it.Revision)
	return true
}

func (w *worker) get(ctx context.Context) bool {
	it, err := w.keeper.Get(ctx, w.key)
	w.note(err)
	if err != nil {
		return false
	}
	value, err := codec.DecodeClaims(it.Value)
	if err != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bucket.GetDone(it.Revision, value)
}
