package replay

import (
	"container/heap"
	"time"
)

// eventQueue is the queue of what is to happen; its time stands still in between.
type eventQueue struct {
	now  time.Time
	seq  uint64
	jobs eventHeap
}

type scheduledEvent struct {
	at  time.Time
	seq uint64
	do  func()
}

// epoch is the time at which each replay starts.
var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func newEventQueue() *eventQueue { return &eventQueue{now: epoch} }

// after schedules something.
func (a *eventQueue) after(d time.Duration, do func()) {
	a.seq++
	heap.Push(&a.jobs, scheduledEvent{a.now.Add(d), a.seq, do})
}

// run carries out what is due until a time.
func (a *eventQueue) run(until time.Time) {
	for len(a.jobs) > 0 && !a.jobs[0].at.After(until) {
		j, ok := heap.Pop(&a.jobs).(scheduledEvent)
		if !ok {
			return
		}
		a.now = j.at
		j.do()
	}
	a.now = until
}

type eventHeap []scheduledEvent

// Len, Less, Swap, Push and Pop make jobs a heap.
func (j eventHeap) Len() int { return len(j) }

// Less orders jobs by time, and by the order of scheduling within one instant.
func (j eventHeap) Less(x, y int) bool {
	if j[x].at.Equal(j[y].at) {
		return j[x].seq < j[y].seq
	}
	return j[x].at.Before(j[y].at)
}

// Swap exchanges two jobs.
func (j eventHeap) Swap(x, y int) { j[x], j[y] = j[y], j[x] }

// Push adds a job.
func (j *eventHeap) Push(x any) {
	if v, ok := x.(scheduledEvent); ok {
		*j = append(*j, v)
	}
}

// Pop removes the last job.
func (j *eventHeap) Pop() any {
	old := *j
	v := old[len(old)-1]
	*j = old[:len(old)-1]
	return v
}
