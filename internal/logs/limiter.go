package logs

import (
	"sync"
	"time"
)

// rateLimiter bounds the lines of a second; failures and refusals may use what routine lines may not.
type rateLimiter struct {
	mu          sync.Mutex
	windowStart time.Time
	written     int
	suppressed  uint64
}

const (
	// maxLinesPerSecond is the number of lines a second that an entry writes.
	maxLinesPerSecond = 600
	// maxRoutinePerSecond is the number after which only failures and refusals are written.
	maxRoutinePerSecond = 400
)

// allow reports whether a line may be written, and how many were left out in the second that has just ended.
func (q *rateLimiter) allow(now time.Time, routine bool) (ok bool, missed uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.windowStart) >= time.Second {
		missed, q.suppressed = q.suppressed, 0
		q.windowStart, q.written = now, 0
	}
	most := maxLinesPerSecond
	if routine {
		most = maxRoutinePerSecond
	}
	if q.written >= most {
		q.suppressed++
		return false, missed
	}
	q.written++
	return true, missed
}
