package replay

import (
	"container/heap"
	"time"
)

// eventQueue holds scheduled events and the virtual clock, which jumps from one event to the next.
type eventQueue struct {
	now     time.Time
	seq     uint64
	pending eventHeap
}

// scheduledEvent is a function to call at a time; seq numbers events in the order of scheduling.
type scheduledEvent struct {
	at  time.Time
	seq uint64
	do  func()
}

// epoch is the virtual time at which each replay starts.
var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// newEventQueue returns an empty queue whose clock shows epoch.
func newEventQueue() *eventQueue { return &eventQueue{now: epoch} }

// after schedules do to run once d has passed.
func (q *eventQueue) after(d time.Duration, do func()) {
	q.seq++
	heap.Push(&q.pending, scheduledEvent{q.now.Add(d), q.seq, do})
}

// run runs all events that are due by until, and then sets the clock to until.
func (q *eventQueue) run(until time.Time) {
	for len(q.pending) > 0 && !q.pending[0].at.After(until) {
		ev, ok := heap.Pop(&q.pending).(scheduledEvent)
		if !ok {
			return
		}
		q.now = ev.at
		ev.do()
	}
	q.now = until
}

// eventHeap implements heap.Interface, earliest event first.
type eventHeap []scheduledEvent

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, and by the order of scheduling when they are due at the same time.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

// Swap exchanges two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event; it is called by package heap.
func (h *eventHeap) Push(x any) {
	if ev, ok := x.(scheduledEvent); ok {
		*h = append(*h, ev)
	}
}

// Pop removes and returns the last event; it is called by package heap.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
