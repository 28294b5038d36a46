package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/ledger"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/traffic/idkey"
)

// Client claims idempotency keys for the calls of one entry; it is safe for concurrent use.
//
// Claims are stored in buckets: several keys share one key of the store. A worker goroutine serves each bucket in use.
type Client struct {
	// Get reads a key of the store; a missing key has revision 0.
	Get func(ctx context.Context, key string) (item.Item, error)
	// CompareAndSwap writes a key of the store if its revision is the expected one, and reports whether it did.
	// An error means that the outcome of the write is unknown.
	CompareAndSwap func(ctx context.Context, it item.Item, expect revno.Revision, lease int64) (bool, item.Item, error)
	// Entries returns the number of entries that share the rate of writes for claims; nil counts as one entry.
	Entries func() int

	clock clock.Clock
	owner string
	// mu guards workers and reservedUntil.
	mu sync.Mutex
	// workers maps a key of the store to the worker of its bucket.
	workers map[string]*worker
	// reservedUntil is the time up to which the rate of writes is used up; waitForWrite moves it forward.
	reservedUntil time.Time
	// eraMu guards era, the highest era of the store that the client has heard of, and eraAt, when it did first.
	eraMu sync.Mutex
	era   int64
	eraAt time.Time
}

// New returns a client for one start of an entry; owner identifies that start and is stored with its claims.
func New(c clock.Clock, owner string) *Client {
	return &Client{clock: c, owner: owner, workers: map[string]*worker{}}
}

// worker makes the store calls for one bucket, one at a time; its run method is a goroutine.
type worker struct {
	client *Client
	// key is the key of the store that holds the bucket.
	key string
	// mu guards bucket and running.
	mu     sync.Mutex
	bucket *idkey.Bucket
	// running is set while run is executing.
	running bool
	// consecutiveErrors counts the store calls in a row that returned an error; only run and its callees use it.
	consecutiveErrors int
	// wakeCh interrupts the sleep of run.
	wakeCh chan struct{}
}

// claimResult is the result of one claim, with the claim in the store that led to it.
type claimResult struct {
	result dedup.Result
	held   claim.Claim
}

// Claim makes a claim, of which the key, binding, attempt and expiry are given. It returns the claim in the store that led to the
// result, with the remembered answer if there is one.
//
// The owner and the attempt together identify the call.
//
// It waits for the result until ctx is done, for at most tune.ClaimTimeout. After that, it returns Unknown if the key
// was seen to be held by another call, and Unavailable otherwise.
func (c *Client) Claim(ctx context.Context, service string, cl claim.Claim) (dedup.Result, claim.Claim) {
	w := c.worker(service, cl.Key)
	results := make(chan claimResult, 1)
	w.mu.Lock()
	w.bucket.Claim(cl, func(r dedup.Result, held claim.Claim) { results <- claimResult{r, held} })
	w.mu.Unlock()
	w.wake()
	timeout, stop := c.clock.Timer(tune.ClaimTimeout)
	defer stop()
	select {
	case r := <-results:
		return r.result, r.held
	case <-timeout:
	case <-ctx.Done():
	}
	w.mu.Lock()
	held := w.bucket.Abandon(c.clock.Now(), cl)
	w.mu.Unlock()
	w.wake()
	if held {
		return dedup.Unknown, claim.Claim{}
	}
	return dedup.Unavailable, claim.Claim{}
}

// Complete records the state and the answer with which the call of a claim ended; a worker later writes both to the store.
func (c *Client) Complete(service string, cl claim.Claim) {
	w := c.worker(service, cl.Key)
	w.mu.Lock()
	w.bucket.Complete(c.clock.Now(), cl)
	w.mu.Unlock()
	w.wake()
}

// worker returns the worker of the bucket that a key belongs to, and creates it on first use.
func (c *Client) worker(service string, key uint64) *worker {
	storeKey := keys.Claim(service, int(key%tune.ClaimBuckets))
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[storeKey]
	if w == nil {
		w = &worker{client: c, key: storeKey, bucket: idkey.New(c.owner), wakeCh: make(chan struct{}, 1)}
		w.bucket.EraSince = c.eraSince
		c.workers[storeKey] = w
	}
	return w
}

// eraSince returns when the client first heard of an era of the store.
func (c *Client) eraSince(now time.Time, era int64) time.Time {
	c.eraMu.Lock()
	defer c.eraMu.Unlock()
	if c.eraAt.IsZero() || era > c.era {
		c.era, c.eraAt = era, now
	}
	return c.eraAt
}

// wake starts the worker, or interrupts its sleep if it runs already.
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

// run makes the store calls that the bucket plans, until no claim or completion is left.
//
// After too many calls without progress since the last successful write, or with errors in a row, all waiting claims fail as
// unavailable.
func (w *worker) run() {
	failures := 0 // store calls without progress since the last write that succeeded
	for {
		now := w.client.clock.Now()
		w.mu.Lock()
		if failures >= tune.MaxClaimAttempts || w.consecutiveErrors >= tune.MaxClaimErrors {
			w.bucket.FailPending()
			failures, w.consecutiveErrors = 0, 0
		}
		op, value, expect, ok := w.bucket.Plan(now)
		planAt, pending := w.bucket.NextPlanAt(now)
		if !ok && !pending {
			w.running = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		switch {
		case !ok:
			w.sleep(planAt.Sub(now))
		case w.callStore(op, value, expect):
			if op == kvop.CompareAndSwap {
				failures = 0
			}
		default:
			failures++
			w.sleep(backoff(failures))
		}
	}
}

// recordErr counts a failed store call; a successful one resets the count.
func (w *worker) recordErr(err error) {
	if err == nil {
		w.consecutiveErrors = 0
		return
	}
	w.consecutiveErrors++
}

// sleep waits for d, or until wake is called.
func (w *worker) sleep(d time.Duration) {
	t, stop := w.client.clock.Timer(d)
	defer stop()
	select {
	case <-t:
	case <-w.wakeCh:
	}
}

// backoff returns a random pause after a number of failures in a row; its upper bound doubles with each failure, up to
// a quarter of tune.MaxBackoff.
func backoff(failures int) time.Duration {
	bound := min(tune.MinBackoff<<min(failures, 8), tune.MaxBackoff) / 4
	return time.Duration(rand.Int64N(int64(bound))) + time.Millisecond
}

// waitForWrite blocks until the entry may make one write.
//
// Each entry has an equal share of tune.ClaimWriteRate, with bursts of tune.ClaimBurst writes.
func (c *Client) waitForWrite() {
	c.mu.Lock()
	now := c.clock.Now()
	entries := 1
	if c.Entries != nil {
		entries = max(1, c.Entries())
	}
	interval := time.Second * time.Duration(entries) / tune.ClaimWriteRate
	c.reservedUntil = later(c.reservedUntil, now.Add(-interval*tune.ClaimBurst)).Add(interval)
	wait := c.reservedUntil.Sub(now)
	c.mu.Unlock()
	if wait <= 0 {
		return
	}
	t, stop := c.clock.Timer(wait)
	defer stop()
	<-t
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// callStore makes one planned store call and reports whether the bucket made progress by it.
func (w *worker) callStore(op kvop.Op, value ledger.Ledger, expect revno.Revision) bool {
	ctx, cancel := context.WithTimeout(context.Background(), tune.StoreTimeout)
	defer cancel()
	if op == kvop.Get {
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

// get reads the bucket from the store and reports whether the value is valid and no older than the one known.
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
	return w.bucket.GetDone(w.client.clock.Now(), it.Revision, value)
}
