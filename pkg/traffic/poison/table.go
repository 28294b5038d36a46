package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Table counts crashes by fingerprint and by the entry that saw them.
type Table struct {
	mu            sync.Mutex
	byFingerprint map[uint64]map[string]crashCount
	// marked is the number of fingerprints, for a look without the lock.
	marked atomic.Int64
	// Note, when set, is told the new count of a fingerprint that crashed an upstream.
	OnCrash func(fp, crashes uint64, until time.Time)
}

type crashCount struct {
	crashes uint64
	until   time.Time
}

// New returns an empty table.
func New() *Table { return &Table{byFingerprint: map[uint64]map[string]crashCount{}} }

// ownOrigin is the origin of this entry's own crashes.
const ownOrigin = ""

// RecordCrash counts a crash of an upstream by a fingerprint.
func (t *Table) RecordCrash(now time.Time, fp uint64) {
	m := crashCount{until: now.Add(tune.PoisonTTL)}
	t.mu.Lock()
	m.crashes = t.byFingerprint[fp][ownOrigin].crashes + 1
	t.set(fp, ownOrigin, m)
	t.mu.Unlock()
	if t.OnCrash != nil {
		t.OnCrash(fp, m.crashes, m.until)
	}
}

// RecordSuccess forgets a fingerprint whose call an upstream has just answered.
func (t *Table) RecordSuccess(fp uint64) {
	if t.marked.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byFingerprint, fp)
	t.marked.Store(int64(len(t.byFingerprint)))
}

// Merge takes over another entry's count, and reports whether it was news.
func (t *Table) Merge(fp uint64, from string, crashes uint64, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byFingerprint[fp][from].crashes >= crashes {
		return false
	}
	t.set(fp, from, crashCount{crashes, until})
	return true
}

// Blocked reports whether a fingerprint has crashed as many upstreams as it may.
func (t *Table) Blocked(now time.Time, fp uint64) bool {
	if t.marked.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := uint64(0)
	for _, m := range t.byFingerprint[fp] {
		if now.Before(m.until) {
			crashes += m.crashes
		}
	}
	return crashes >= tune.MaxCrashes
}

// Sweep forgets the marks that have lapsed.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, marks := range t.byFingerprint {
		for from, m := range marks {
			if !now.Before(m.until) {
				delete(marks, from)
			}
		}
		if len(marks) == 0 {
			delete(t.byFingerprint, p)
		}
	}
	t.marked.Store(int64(len(t.byFingerprint)))
}

func (t *Table) set(fp uint64, from string, m crashCount) {
	if t.byFingerprint[fp] == nil {
		t.byFingerprint[fp] = map[string]crashCount{}
	}
	t.byFingerprint[fp][from] = m
	t.marked.Store(int64(len(t.byFingerprint)))
}
