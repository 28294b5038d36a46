package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/traffic/idkey"
)

// Client claims keys for the calls of one entry; it is safe for concurrent use.
type Client struct {
	// Get and Swap call the store.
	Get            func(ctx context.Context, key string) (item.Item, error)
	CompareAndSwap func(ctx context.Context, it item.Item, expect, lease int64) (bool, item.Item, error)
	// Entries, when set, tells how many entries share the store's writes.
	Entries func() int

	clock   clock.Clock
	owner   string
	mu      sync.Mutex
	workers map[string]*worker
	// reservedUntil is the time up to which writes have been taken from the budget.
	reservedUntil time.Time
}

// New returns a keeper for an entry, which is named by owner for each of its starts.
func New(c clock.Clock, owner string) *Client {
	return &Client{clock: c, owner: owner, workers: map[string]*worker{}}
}

// worker serves one bucket, with at most one store call at a time.
type worker struct {
	client  *Client
	key     string
	mu      sync.Mutex
	bucket  *idkey.Bucket
	running bool
	// consecutiveErrors counts the store calls in a row whose outcome is not known; run alone uses it.
	consecutiveErrors int
	wakeCh            chan struct{}
}

type outcome struct {
	grant  dedup.Result
	answer answer.Answer
}

// Claim claims a key for an attempt, and returns the remembered answer if there is one.
func (k *Client) Claim(ctx context.Context, service string, key, attempt uint64, until time.Time) (dedup.Result, answer.Answer) {
	w := k.worker(service, key)
	got := make(chan outcome, 1)
	w.mu.Lock()
	w.bucket.Claim(key, attempt, until, func(g dedup.Result, a answer.Answer) { got <- outcome{g, a} })
	w.mu.Unlock()
	w.wake()
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
	w.wake()
	if held {
		return dedup.Unknown, answer.Answer{}
	}
	return dedup.Unavailable, answer.Answer{}
}

// Complete records how the call that holds a key ended.
func (k *Client) Complete(service string, key, attempt uint64, st state.State, a answer.Answer) {
	w := k.worker(service, key)
	w.mu.Lock()
	w.bucket.Complete(k.clock.Now(), key, attempt, st, a)
	w.mu.Unlock()
	w.wake()
}

func (k *Client) worker(service string, key uint64) *worker {
	name := keys.Claim(service, int(key%tune.ClaimBuckets))
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.workers[name]
	if w == nil {
		w = &worker{client: k, key: name, bucket: idkey.New(k.owner), wakeCh: make(chan struct{}, 1)}
		k.workers[name] = w
	}
	return w
}

// wake starts the worker unless it runs already.
func (w *worker) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running {
		w.running = true
		go w.run()
		return
	}
	select {
	case w.wakeCh <- struct{}{}:
	default:
	}
}

// run carries out what the bucket plans until nothing is left to do.
func (w *worker) run() {
	tries := 0
	for {
		now := w.client.clock.Now()
		w.mu.Lock()
		if tries >= tune.MaxClaimAttempts || w.consecutiveErrors >= tune.MaxClaimErrors {
			w.bucket.FailPending()
			tries, w.consecutiveErrors = 0, 0
		}
		v, value, expect, ok := w.bucket.Plan(now)
		next, later := w.bucket.NextPlanAt(now)
		if !ok && !later {
			w.running = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		switch {
		case !ok:
			w.sleep(next.Sub(now))
		case w.callStore(v, value, expect):
			tries = 0
		default:
			tries++
			w.sleep(backoff(tries))
		}
	}
}

// recordErr counts failures in a row.
func (w *worker) recordErr(err error) {
	if err == nil {
		w.consecutiveErrors = 0
		return
	}
	w.consecutiveErrors++
}

// sleep waits, but not past a new claim.
func (w *worker) sleep(d time.Duration) {
	t, stop := w.client.clock.Timer(d)
	defer stop()
	select {
	case <-t:
	case <-w.wakeCh:
	}
}

// backoff is the pause after a failure, which doubles with each.
func backoff(tries int) time.Duration {
	most := min(tune.MinBackoff<<min(tries, 8), tune.MaxBackoff) / 4
	return time.Duration(rand.Int64N(int64(most))) + time.Millisecond
}

// waitForWrite waits for the right to make one write.
func (k *Client) waitForWrite() {
	k.mu.Lock()
	now := k.clock.Now()
	entries := 1
	if k.Entries != nil {
		entries = max(1, k.Entries())
	}
	gap := time.Second * time.Duration(entries) / tune.ClaimWriteRate
	k.reservedUntil = later(k.reservedUntil, now.Add(-gap*tune.ClaimBurst)).Add(gap)
	wait := k.reservedUntil.Sub(now)
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

// callStore makes one store call, and reports whether it brought the bucket on.
func (w *worker) callStore(v kvop.Op, value []claim.Claim, expect int64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), tune.StoreTimeout)
	defer cancel()
	if v == kvop.Get {
		return w.get(ctx)
	}
	w.client.waitForWrite()
	data, err := codec.EncodeClaims(value)
	if err != nil {
		return false
	}
	done, it, err := w.client.CompareAndSwap(ctx, item.Item{Key: w.key, Value: data}, expect, 0)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordErr(err)
	if err != nil || !done {
		w.bucket.Invalidate()
		return false
	}
	w.bucket.SwapDone(it.Revision)
	return true
}

func (w *worker) get(ctx context.Context) bool {
	it, err := w.client.Get(ctx, w.key)
	w.recordErr(err)
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
