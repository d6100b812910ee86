package model

import (
	"cmp"
	"container/heap"
	"time"
)

// event is an action at a virtual time. Events at the same time run in the order in which they were added.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

// schedule is a virtual clock with a queue of events.
type schedule struct {
	now          time.Duration
	events       events
	lastSequence int
}

// at schedules the action for the time t, or for now if t has passed.
func (s *schedule) at(t time.Duration, action func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at: max(t, s.now), sequence: s.lastSequence, action: action})
}

// runUntil runs all events up to the time end.
func (s *schedule) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
}

type events []event

var _ heap.Interface = (*events)(nil)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
