package logs

import (
	"sync"
	"time"
)

// quota bounds the lines of a second; failures and refusals may use what routine lines may not.
type quota struct {
	mu     sync.Mutex
	second time.Time
	used   int
	left   uint64
}

const (
	// linesMost is the number of lines a second that an entry writes.
	linesMost = 600
	// routineMost is the number after which only failures and refusals are written.
	routineMost = 400
)

// admit reports whether a line may be written, and how many were left out in the second that has just ended.
func (q *quota) admit(now time.Time, routine bool) (ok bool, missed uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.second) >= time.Second {
		missed, q.left = q.left, 0
		q.second, q.used = now, 0
	}
	most := linesMost
	if routine {
		most = routineMost
	}
	if q.used >= most {
		q.left++
		return false, missed
	}
	q.used++
	return true, missed
}
