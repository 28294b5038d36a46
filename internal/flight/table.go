package flight

import (
	"sync"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/call"
)

// Table holds the calls in flight, and counts those that arrive after a stop has begun; it is safe for concurrent use.
type Table struct {
	// mu guards all fields below.
	mu    sync.Mutex
	calls map[*call.Call]progress
	// stopped is when the stop began; zero before.
	stopped time.Time
	// onOld and onNew count the calls that arrived after the stop began, on connections opened before it and after it.
	onOld, onNew int
}

// progress is how far a call has got.
type progress struct {
	// opened is when the connection that the call came on was accepted.
	opened time.Time
	// sent is set once an attempt has begun.
	sent bool
}

// New returns an empty Table.
func New() *Table { return &Table{calls: map[*call.Call]progress{}} }

// Add registers a call that came on a connection accepted at the given time.
func (t *Table) Add(c *call.Call, opened time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[c] = progress{opened: opened}
	switch {
	case t.stopped.IsZero() || c.Arrived.Before(t.stopped):
	case opened.Before(t.stopped):
		t.onOld++
	default:
		t.onNew++
	}
}

// MarkSent records that an attempt of a call has begun.
func (t *Table) MarkSent(c *call.Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.calls[c]; ok {
		p.sent = true
		t.calls[c] = p
	}
}

// Remove removes a call that has ended.
func (t *Table) Remove(c *call.Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, c)
}

// BeginStop starts the count of the calls that arrive after now.
func (t *Table) BeginStop(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = now
}

// SinceStop returns the number of calls that arrived after the stop began, on connections opened before it and after it.
func (t *Table) SinceStop() (onOld, onNew int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.onOld, t.onNew
}

// Len returns the number of calls in flight.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}

// Visit calls f for each call in flight, with the time when its connection was accepted and whether an attempt has begun.
// It holds the lock meanwhile.
func (t *Table) Visit(f func(c *call.Call, opened time.Time, sent bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, p := range t.calls {
		f(c, p.opened, p.sent)
	}
}
