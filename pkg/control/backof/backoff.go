package backof

import (
	"math/rand/v2"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Backoff is the state of an exponential backoff with jitter. The zero value has no pause.
//
// It is not safe for concurrent use.
type Backoff struct {
	pause time.Duration
	until time.Time
}

// Ready reports whether the pause is over.
func (b *Backoff) Ready(now time.Time) bool { return !now.Before(b.until) }

// Fail records a failed attempt and starts a pause.
//
// The nominal pause doubles with each failure in a row, from tune.MinBackoff to tune.MaxBackoff. The actual
// pause is random, between half of the nominal pause and all of it.
func (b *Backoff) Fail(now time.Time, rnd *rand.Rand) {
	b.pause = min(max(2*b.pause, tune.MinBackoff), tune.MaxBackoff)
	b.until = now.Add(b.pause/2 + time.Duration(rnd.Int64N(int64(b.pause/2))))
}

// Succeed ends the pause and resets it to its initial length.
func (b *Backoff) Succeed() { *b = Backoff{} }
