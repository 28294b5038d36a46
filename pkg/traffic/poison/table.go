package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Table counts upstream crashes by fingerprint and by the entry that saw them; it is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// byFingerprint holds the crash counts by fingerprint and origin.
	byFingerprint map[uint64]map[string]crashCount
	// size is the number of fingerprints in the table, readable without the lock.
	size atomic.Int64
	// OnCrash, when set, is called after RecordCrash with the new count of this entry and its expiry.
	OnCrash func(fp, crashes uint64, until time.Time)
}

// crashCount is the number of crashes that one entry saw, which counts until it expires.
type crashCount struct {
	crashes uint64
	until   time.Time
}

// New returns an empty table.
func New() *Table { return &Table{byFingerprint: map[uint64]map[string]crashCount{}} }

// ownOrigin is the origin of the crashes that this entry saw itself.
const ownOrigin = ""

// RecordCrash counts a crash of an upstream that ran a call with a fingerprint.
func (t *Table) RecordCrash(now time.Time, fp uint64) {
	c := crashCount{until: now.Add(tune.PoisonTTL)}
	t.mu.Lock()
	c.crashes = t.byFingerprint[fp][ownOrigin].crashes + 1
	t.set(fp, ownOrigin, c)
	t.mu.Unlock()
	if t.OnCrash != nil {
		t.OnCrash(fp, c.crashes, c.until)
	}
}

// RecordSuccess removes a fingerprint, because an upstream has answered its call without a crash.
func (t *Table) RecordSuccess(fp uint64) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byFingerprint, fp)
	t.size.Store(int64(len(t.byFingerprint)))
}

// Merge stores the crash count of another entry, and reports whether it is higher than the one known.
func (t *Table) Merge(fp uint64, origin string, crashes uint64, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byFingerprint[fp][origin].crashes >= crashes {
		return false
	}
	t.set(fp, origin, crashCount{crashes, until})
	return true
}

// Blocked reports whether calls with a fingerprint are refused, because they caused tune.MaxCrashes crashes or more.
func (t *Table) Blocked(now time.Time, fp uint64) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := uint64(0)
	for _, c := range t.byFingerprint[fp] {
		if now.Before(c.until) {
			crashes += c.crashes
		}
	}
	return crashes >= tune.MaxCrashes
}

// Sweep removes expired counts.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fp, counts := range t.byFingerprint {
		for origin, c := range counts {
			if !now.Before(c.until) {
				delete(counts, origin)
			}
		}
		if len(counts) == 0 {
			delete(t.byFingerprint, fp)
		}
	}
	t.size.Store(int64(len(t.byFingerprint)))
}

// set stores a count and updates size; the caller holds mu.
func (t *Table) set(fp uint64, origin string, c crashCount) {
	if t.byFingerprint[fp] == nil {
		t.byFingerprint[fp] = map[string]crashCount{}
	}
	t.byFingerprint[fp][origin] = c
	t.size.Store(int64(len(t.byFingerprint)))
}
