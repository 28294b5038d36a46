package queue

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/class"
)

// Queue serves interactive calls before bulk ones and callers in turn; the owner locks it.
type Queue[T any] struct {
	classes [2]classQueue[T]
	size    int
}

type classQueue[T any] struct {
	callers     map[string][]item[T]
	callerOrder []string
}

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

// Ahead returns the number of calls that a newcomer of a class and caller would wait for.
func (q *Queue[T]) Ahead(cl class.Class, caller string) int {
	l := &q.classes[cl]
	mine := len(l.callers[caller])
	n := mine
	for _, c := range l.callerOrder {
		if c != caller {
			n += min(len(l.callers[c]), mine+1)
		}
	}
	if cl == class.Bulk {
		n += q.classes[class.Interactive].len()
	}
	return n
}

// Longest returns the most calls that any one caller of a class has waiting, and that caller.
func (q *Queue[T]) Longest(cl class.Class) (caller string, n int) {
	for _, c := range q.classes[cl].callerOrder {
		if len(q.classes[cl].callers[c]) > n {
			caller, n = c, len(q.classes[cl].callers[c])
		}
	}
	return caller, n
}

// Push adds a call at the end of its caller's line.
func (q *Queue[T]) Push(cl class.Class, caller string, deadline time.Time, v T) {
	l := &q.classes[cl]
	if len(l.callers[caller]) == 0 {
		l.callerOrder = append(l.callerOrder, caller)
	}
	l.callers[caller] = append(l.callers[caller], item[T]{deadline, v})
	q.size++
}

// Peek returns the next call of a class, and reports whether there is one.
func (q *Queue[T]) Peek(cl class.Class) (v T, ok bool) {
	l := &q.classes[cl]
	if len(l.callerOrder) == 0 {
		return v, false
	}
	return l.callers[l.callerOrder[0]][0].value, true
}

// Pop removes the next call of a class, and reports whether there was one.
func (q *Queue[T]) Pop(cl class.Class) (v T, ok bool) {
	l := &q.classes[cl]
	if len(l.callerOrder) == 0 {
		return v, false
	}
	caller := l.callerOrder[0]
	line := l.callers[caller]
	v = line[0].value
	l.callerOrder = l.callerOrder[1:]
	if len(line) > 1 {
		l.callers[caller] = line[1:]
		l.callerOrder = append(l.callerOrder, caller)
	} else {
		delete(l.callers, caller)
	}
	q.size--
	return v, true
}

// PopLast removes the newest call of a caller, and reports whether there was one.
func (q *Queue[T]) PopLast(cl class.Class, caller string) (v T, ok bool) {
	line := q.classes[cl].callers[caller]
	if len(line) == 0 {
		return v, false
	}
	v = line[len(line)-1].value
	q.classes[cl].set(caller, line[:len(line)-1])
	q.size--
	return v, true
}

// Remove takes out the calls that match, and returns them.
func (q *Queue[T]) Remove(match func(deadline time.Time, v T) bool) []T {
	var out []T
	for i := range q.classes {
		l := &q.classes[i]
		for _, caller := range append([]string(nil), l.callerOrder...) {
			var keep []item[T]
			for _, e := range l.callers[caller] {
				if match(e.deadline, e.value) {
					out = append(out, e.value)
				} else {
					keep = append(keep, e)
				}
			}
			l.set(caller, keep)
		}
	}
	q.size -= len(out)
	return out
}

func (l *classQueue[T]) len() int {
	n := 0
	for _, line := range l.callers {
		n += len(line)
	}
	return n
}

func (l *classQueue[T]) set(caller string, line []item[T]) {
	if len(line) > 0 {
		l.callers[caller] = line
		return
	}
	delete(l.callers, caller)
	for i, c := range l.callerOrder {
		if c == caller {
			l.callerOrder = append(l.callerOrder[:i:i], l.callerOrder[i+1:]...)
			return
		}
	}
}
