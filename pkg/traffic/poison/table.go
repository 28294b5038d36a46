package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// Table counts crashes by fingerprint and by the entry that saw them.
type Table struct {
	mu     sync.Mutex
	prints map[uint64]map[string]mark
	// marked is the number of fingerprints, for a look without the lock.
	marked atomic.Int64
	// Note, when set, is told the new count of a fingerprint that crashed an upstream.
	Note func(fp, crashes uint64, until time.Time)
}

type mark struct {
	crashes uint64
	until   time.Time
}

// New returns an empty table.
func New() *Table { return &Table{prints: map[uint64]map[string]mark{}} }

// own is the origin of this entry's own crashes.
const own = ""

// Crash counts a crash of an upstream by a fingerprint.
func (t *Table) Crash(now time.Time, fp uint64) {
	m := mark{until: now.Add(tune.PoisonLife)}
	t.mu.Lock()
	m.crashes = t.prints[fp][own].crashes + 1
	t.set(fp, own, m)
	t.mu.Unlock()
	if t.Note != nil {
		t.Note(fp, m.crashes, m.until)
	}
}

// Pass forgets a fingerprint whose call an upstream has just answered.
func (t *Table) Pass(fp uint64) {
	if t.marked.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.prints, fp)
	t.marked.Store(int64(len(t.prints)))
}

// Merge takes over another entry's count, and reports whether it was news.
func (t *Table) Merge(fp uint64, from string, crashes uint64, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.prints[fp][from].crashes >= crashes {
		return false
	}
	t.set(fp, from, mark{crashes, until})
	return true
}

// Refuses reports whether a fingerprint has crashed as many upstreams as it may.
func (t *Table) Refuses(now time.Time, fp uint64) bool {
	if t.marked.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := uint64(0)
	for _, m := range t.prints[fp] {
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
	for p, marks := range t.prints {
		for from, m := range marks {
			if !now.Before(m.until) {
				delete(marks, from)
			}
		}
		if len(marks) == 0 {
			delete(t.prints, p)
		}
	}
	t.marked.Store(int64(len(t.prints)))
}

func (t *Table) set(fp uint64, from string, m mark) {
	if t.prints[fp] == nil {
		t.prints[fp] = map[string]mark{}
	}
	t.prints[fp][from] = m
	t.marked.Store(int64(len(t.prints)))
}
