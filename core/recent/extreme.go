// Package recent keeps the smallest or the largest of the values that were in force within the last time of some length. A
// limit that several instances divide among themselves without messages holds if each of them uses the smallest share of a time
// in which they had the same view.
package recent

import (
	"cmp"
	"time"
)

// Extreme is the smallest or the largest of the values of the last time of some length. Times are readings of any clock that
// does not go back.
type Extreme[T cmp.Ordered] struct {
	length time.Duration
	// outlasts reports that an earlier value counts in spite of a later one.
	outlasts func(earlier, later T) bool
	// steps are the values that may still be the extreme, in order of time. The last one is in force.
	steps []step[T]
}

// step is a value that was in force until some time.
type step[T cmp.Ordered] struct {
	value T
	until time.Duration
}

// NewMin returns the smallest value of the last time of the length. The initial value is in force until the first
// Observe.
func NewMin[T cmp.Ordered](length time.Duration, initial T) *Extreme[T] {
	return &Extreme[T]{length: length, outlasts: cmp.Less[T], steps: []step[T]{{value: initial}}}
}

// NewMax returns the largest value, as NewMin.
func NewMax[T cmp.Ordered](length time.Duration, initial T) *Extreme[T] {
	return &Extreme[T]{
		length: length, outlasts: func(earlier, later T) bool { return cmp.Less(later, earlier) }, steps: []step[T]{{value: initial}},
	}
}

// Observe sets the value in force, and forgets those that are older than the length.
func (e *Extreme[T]) Observe(now time.Duration, v T) {
	if newest := &e.steps[len(e.steps)-1]; newest.value != v {
		newest.until = now
		for len(e.steps) > 0 && !e.outlasts(e.steps[len(e.steps)-1].value, v) {
			e.steps = e.steps[:len(e.steps)-1]
		}
		e.steps = append(e.steps, step[T]{value: v})
	}
	for len(e.steps) > 1 && e.steps[0].until+e.length <= now {
		e.steps = e.steps[1:]
	}
}

// Value returns the extreme at the last Observe.
func (e *Extreme[T]) Value() T { return e.steps[0].value }

// Last returns the value in force.
func (e *Extreme[T]) Last() T { return e.steps[len(e.steps)-1].value }
