package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/pkg/answer"
	"github.com/balsamvale/balsamvale/pkg/bucket"
	"github.com/balsamvale/balsamvale/pkg/claim"
	"github.com/balsamvale/balsamvale/pkg/clock"
	"github.com/balsamvale/balsamvale/pkg/grant"
	"github.com/balsamvale/balsamvale/pkg/item"
	"github.com/balsamvale/balsamvale/pkg/keys"
	"github.com/balsamvale/balsamvale/pkg/state"
	"github.com/balsamvale/balsamvale/pkg/tune"
	"github.com/balsamvale/balsamvale/pkg/verb"
)

// Keeper claims keys for the calls of one entry; it is safe for concurrent use.
type Keeper struct {
	// Get and Swap call the store.
	Get  func(ctx context.Context, key string) (item.Item, error)
	Swap func(ctx context.Context, it item.Item, expect, lease int64) (bool, item.Item, error)

	clock   clock.Clock
	owner   string
	mu      sync.Mutex
	workers map[string]*worker
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
}

type outcome struct {
	grant  grant.Grant
	answer answer.Answer
}

// Claim claims a key for an attempt, and returns the remembered answer if there is one.
func (k *Keeper) Claim(ctx context.Context, service string, key, attempt uint64, until time.Time) (grant.Grant, answer.Answer) {
	w := k.worker(service, key)
	got := make(chan outcome, 1)
	w.mu.Lock()
	w.bucket.Ask(key, attempt, until, func(g grant.Grant, a answer.Answer) { got <- outcome{g, a} })
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
	w.bucket.Abandon(k.clock.Now(), key, attempt)
	w.mu.Unlock()
	w.kick()
	return grant.Unavailable, answer.Answer{}
}

// Settle records how the call that holds a key ended.
func (k *Keeper) Settle(service string, key, attempt uint64, st state.State, a answer.Answer) {
	w := k.worker(service, key)
	w.mu.Lock()
	w.bucket.Settle(key, attempt, st, k.clock.Now().Add(tune.ClaimLife), a)
	w.mu.Unlock()
	w.kick()
}

func (k *Keeper) worker(service string, key uint64) *worker {
	name := keys.Claim(service, int(key%tune.Buckets))
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.workers[name]
	if w == nil {
		w = &worker{keeper: k, key: name, bucket: bucket.New(k.owner)}
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
	}
}

// run carries out what the bucket plans until nothing is left to do.
func (w *worker) run() {
	tries := 0
	for {
		w.mu.Lock()
		v, value, expect, ok := w.bucket.Plan(w.keeper.clock.Now())
		if ok && tries >= tune.ClaimTries {
			w.bucket.Fail()
		}
		if !ok || tries >= tune.ClaimTries {
			w.busy = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		if w.step(v, value, expect) {
			tries = 0
			continue
		}
		tries++
		w.pause(tries)
	}
}

// step makes one store call, and reports whether it brought the bucket on.
func (w *worker) step(v verb.Verb, value []claim.Claim, expect int64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), tune.StoreTimeout)
	defer cancel()
	if v == verb.Get {
		return w.get(ctx)
	}
	data, err := codec.EncodeClaims(value)
	if err != nil {
		return false
	}
	done, it, err := w.keeper.Swap(ctx, item.Item{Key: w.key, Value: data}, expect, 0)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || !done {
		w.bucket.Failed()
		return false
	}
	w.bucket.Swapped(it.Revision)
	return true
}

func (w *worker) get(ctx context.Context) bool {
	it, err := w.keeper.Get(ctx, w.key)
	if err != nil {
		return false
	}
	value, err := codec.DecodeClaims(it.Value)
	if err != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bucket.Got(it.Revision, value)
}

// pause waits a jittered time that doubles with each failure.
func (w *worker) pause(tries int) {
	most := min(tune.BackoffFirst<<min(tries, 8), tune.BackoffMost) / 4
	t, stop := w.keeper.clock.Timer(time.Duration(rand.Int64N(int64(most))) + time.Millisecond)
	defer stop()
	<-t
}
