package queue

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/class"
)

// Queue holds the waiting calls of each class, and serves the callers of a class in turn. Its owner takes interactive calls
// first. It is not safe for concurrent use: its owner must lock it.
type Queue[T any] struct {
	// classes is indexed by class.Class.
	classes [2]classQueue[T]
	size    int
}

// classQueue holds the waiting calls of one class.
type classQueue[T any] struct {
	// callers holds the calls of each caller, the oldest first; callers without calls are left out.
	callers map[string][]item[T]
	// callerOrder lists the callers in the order in which they are served.
	callerOrder []string
}

// item is a waiting call.
type item[T any] struct {
	deadline time.Time
	value    T
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	q := &Queue[T]{}
	for i := range q.classes {
		q.classes[i].callers = map[string][]item[T]{}
	}
	return q
}

// Len returns the number of calls that wait.
func (q *Queue[T]) Len() int { return q.size }

// Ahead returns how many waiting calls at most would be served before a new call of a class and caller: all calls of the
// caller and, of each other caller, one more than these; for a bulk call also all interactive calls.
func (q *Queue[T]) Ahead(cl class.Class, caller string) int {
	cq := &q.classes[cl]
	own := len(cq.callers[caller])
	n := own
	for _, c := range cq.callerOrder {
		if c != caller {
			n += min(len(cq.callers[c]), own+1)
		}
	}
	if cl == class.Bulk {
		n += q.classes[class.Interactive].len()
	}
	return n
}

// Longest returns the caller with the most waiting calls in a class, and their number; 0 if none wait.
func (q *Queue[T]) Longest(cl class.Class) (caller string, n int) {
	for _, c := range q.classes[cl].callerOrder {
		if len(q.classes[cl].callers[c]) > n {
			caller, n = c, len(q.classes[cl].callers[c])
		}
	}
	return caller, n
}

// Push adds a call behind the other calls of its caller.
func (q *Queue[T]) Push(cl class.Class, caller string, deadline time.Time, v T) {
	cq := &q.classes[cl]
	if len(cq.callers[caller]) == 0 {
		cq.callerOrder = append(cq.callerOrder, caller)
	}
	cq.callers[caller] = append(cq.callers[caller], item[T]{deadline, v})
	q.size++
}

// Peek returns the next call of a class without removing it, and reports whether there is one.
func (q *Queue[T]) Peek(cl class.Class) (v T, ok bool) {
	cq := &q.classes[cl]
	if len(cq.callerOrder) == 0 {
		return v, false
	}
	return cq.callers[cq.callerOrder[0]][0].value, true
}

// Pop removes and returns the next call of a class, and reports whether there was one. Its caller is served last from then on.
func (q *Queue[T]) Pop(cl class.Class) (v T, ok bool) {
	cq := &q.classes[cl]
	if len(cq.callerOrder) == 0 {
		return v, false
	}
	caller := cq.callerOrder[0]
	items := cq.callers[caller]
	v = items[0].value
	cq.callerOrder = cq.callerOrder[1:]
	if len(items) > 1 {
		cq.callers[caller] = items[1:]
		cq.callerOrder = append(cq.callerOrder, caller)
	} else {
		delete(cq.callers, caller)
	}
	q.size--
	return v, true
}

// PopLast removes and returns the newest call of a caller in a class, and reports whether there was one.
func (q *Queue[T]) PopLast(cl class.Class, caller string) (v T, ok bool) {
	items := q.classes[cl].callers[caller]
	if len(items) == 0 {
		return v, false
	}
	v = items[len(items)-1].value
	q.classes[cl].replace(caller, items[:len(items)-1])
	q.size--
	return v, true
}

// Remove removes and returns the calls for which match reports true.
func (q *Queue[T]) Remove(match func(deadline time.Time, v T) bool) []T {
	var removed []T
	for i := range q.classes {
		cq := &q.classes[i]
		for _, caller := range append([]string(nil), cq.callerOrder...) {
			var kept []item[T]
			for _, it := range cq.callers[caller] {
				if match(it.deadline, it.value) {
					removed = append(removed, it.value)
				} else {
					kept = append(kept, it)
				}
			}
			cq.replace(caller, kept)
		}
	}
	q.size -= len(removed)
	return removed
}

// len returns the number of calls of all callers.
func (cq *classQueue[T]) len() int {
	n := 0
	for _, items := range cq.callers {
		n += len(items)
	}
	return n
}

// replace replaces the calls of a caller, and removes the caller if none are left.
func (cq *classQueue[T]) replace(caller string, items []item[T]) {
	if len(items) > 0 {
		cq.callers[caller] = items
		return
	}
	delete(cq.callers, caller)
	for i, c := range cq.callerOrder {
		if c == caller {
			cq.callerOrder = append(cq.callerOrder[:i:i], cq.callerOrder[i+1:]...)
			return
		}
	}
}
