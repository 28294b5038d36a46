package backof

import (
	"math/rand/v2"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Backoff doubles the pause with each failure and jitters it; the owner locks it.
type Backoff struct {
	pause time.Duration
	until time.Time
}

// Ready reports whether the pause is over.
func (b *Backoff) Ready(now time.Time) bool { return !now.Before(b.until) }

// Fail begins a longer pause.
func (b *Backoff) Fail(now time.Time, rnd *rand.Rand) {
	b.pause = min(max(2*b.pause, tune.MinBackoff), tune.MaxBackoff)
	b.until = now.Add(b.pause/2 + time.Duration(rnd.Int64N(int64(b.pause/2))))
}

// Succeed ends the pause.
func (b *Backoff) Succeed() { *b = Backoff{} }
