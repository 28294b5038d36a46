package counts

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamvale/balsamvale/pkg/duties/ledger"
	"github.com/balsamvale/balsamvale/pkg/duties/usage"
)

// Meter counts the calls of one entry. It is safe for concurrent use.
type Meter struct {
	length time.Duration
	shards [shardCount]shard
	// mu guards first and forgotten.
	mu sync.Mutex
	// first is the window in which the meter began; forgotten is the last window that is forgotten.
	first     int64
	forgotten int64
}

// shardCount is the number of locks among which accounts are spread, so that calls of several accounts seldom wait for each other.
const shardCount = 16

// shard holds the counts of a part of the accounts.
type shard struct {
	mu      sync.Mutex
	windows map[int64]map[string]int64
}

// settleTime is how long after its end a window is handed over: attempts that turn out not to have run are taken out of it before.
const settleTime = 800 * time.Millisecond

// maxWindows bounds the windows that are kept while nobody takes them.
const maxWindows = 24

// New returns a meter that begins to count at a time, in windows of a length.
func New(now time.Time, length time.Duration) *Meter {
	m := &Meter{length: length, first: ledger.WindowOf(now, length)}
	m.forgotten = m.first - 1
	for i := range m.shards {
		m.shards[i].windows = map[int64]map[string]int64{}
	}
	return m
}

// Begin counts an attempt of an account that begins at a time.
func (m *Meter) Begin(account string, at time.Time) { m.add(account, at, 1) }

// Undo takes an attempt that began at a time out of the count, because no upstream ran it.
func (m *Meter) Undo(account string, at time.Time) { m.add(account, at, -1) }

func (m *Meter) add(account string, at time.Time, n int64) {
	window := ledger.WindowOf(at, m.length)
	s := &m.shards[xxhash.Sum64String(account)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.windows[window]
	if counts == nil {
		if n < 0 {
			// The window is forgotten.
			return
		}
		counts = map[string]int64{}
		s.windows[window] = counts
	}
	counts[account] += n
}

// Ended returns the counts of the windows that have ended, the oldest first, also of those without calls; with all, that of the
// window that has not ended too.
func (m *Meter) Ended(now time.Time, all bool) []usage.Usage {
	last := ledger.WindowOf(now.Add(-settleTime), m.length) - 1
	if all {
		last = ledger.WindowOf(now, m.length)
	}
	m.mu.Lock()
	first := m.forgotten + 1
	m.mu.Unlock()
	if last-first >= maxWindows {
		first = last - maxWindows + 1
		m.Forget(first - 1)
	}
	var out []usage.Usage
	for window := first; window <= last; window++ {
		u := usage.Usage{Window: window, Counts: map[string]int64{}}
		for i := range m.shards {
			s := &m.shards[i]
			s.mu.Lock()
			maps.Copy(u.Counts, s.windows[window])
			s.mu.Unlock()
		}
		maps.DeleteFunc(u.Counts, func(_ string, n int64) bool { return n <= 0 })
		out = append(out, u)
	}
	return out
}

// Forget forgets the windows up to one, and returns the last window that is forgotten.
func (m *Meter) Forget(window int64) int64 {
	m.mu.Lock()
	m.forgotten = max(m.forgotten, window)
	upTo := m.forgotten
	m.mu.Unlock()
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for _, w := range slices.Collect(maps.Keys(s.windows)) {
			if w <= upTo {
				delete(s.windows, w)
			}
		}
		s.mu.Unlock()
	}
	return upTo
}
