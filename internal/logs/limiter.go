package logs

import (
	"sync"
	"time"
)

// rateLimiter bounds the lines written in a second; part of the bound is reserved for failures and refusals.
//
// It is safe for concurrent use.
type rateLimiter struct {
	mu          sync.Mutex
	windowStart time.Time
	// written and suppressed count the lines of the current window, which lasts one second.
	written    int
	suppressed uint64
}

const (
	// maxLinesPerSecond bounds the lines of all kinds that an entry writes in a second.
	maxLinesPerSecond = 600
	// maxRoutinePerSecond is the number of lines in a second after which only failures and refusals are written.
	maxRoutinePerSecond = 400
)

// allow reports whether a line may be written. At the first line of a new window, it also returns the number of
// lines suppressed in the previous one; otherwise that is 0.
func (l *rateLimiter) allow(now time.Time, routine bool) (ok bool, suppressed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		suppressed, l.suppressed = l.suppressed, 0
		l.windowStart, l.written = now, 0
	}
	limit := maxLinesPerSecond
	if routine {
		limit = maxRoutinePerSecond
	}
	if l.written >= limit {
		l.suppressed++
		return false, suppressed
	}
	l.written++
	return true, suppressed
}
