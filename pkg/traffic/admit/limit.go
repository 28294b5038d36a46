package admit

import "github.com/balsamvale/balsamvale/pkg/shared/tune"

// New returns a limiter that starts with a limit.
func New[T any](initial int) *Limiter[T] {
	return &Limiter[T]{limit: float64(initial), initial: initial, inFlightBy: map[int]int{}}
}

// SetInitial changes the initial limit, which follows the number of entries and upstreams.
//
// Before the first answer, the limit is set to it. Afterwards a smaller initial limit lowers the limit in proportion: entries
// that start together know only a part of each other at first, and their first limits are too high.
func (l *Limiter[T]) SetInitial(initial int) {
	switch {
	case !l.adapted:
		l.limit = float64(initial)
	case initial < l.initial:
		l.limit = max(tune.AdmitLimitMin, l.limit*float64(initial)/float64(l.initial))
	}
	l.initial = initial
}

// Limit returns the number of calls that may be in flight.
func (l *Limiter[T]) Limit() int { return int(l.limit) }

// InFlight returns the number of admitted calls that were not released yet.
func (l *Limiter[T]) InFlight() int { return l.inFlight }

// Adapt adjusts the limit after an answer; overloaded tells whether the upstream that gave it has too much load.
func (l *Limiter[T]) Adapt(overloaded bool) {
	l.adapted = true
	if overloaded {
		l.limit = max(tune.AdmitLimitMin, l.limit*tune.AdmitLimitDecrease)
		return
	}
	l.limit = min(tune.AdmitLimitMax, l.limit+1/l.limit)
}
