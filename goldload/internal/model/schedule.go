package model

import (
	"cmp"
	"container/heap"
	"time"
)

// event is something that happens at a time; events at the same time happen in the order in which they
// were added.
type event struct {
	at     time.Duration
	number int
	do     func()
}

// schedule is the virtual clock with its events.
type schedule struct {
	now    time.Duration
	events events
	added  int
}

func (s *schedule) at(t time.Duration, do func()) {
	s.added++
	heap.Push(&s.events, event{at: max(t, s.now), number: s.added, do: do})
}

// run handles all events up to the end.
func (s *schedule) run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

type events []event

var _ heap.Interface = (*events)(nil)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].number, e[j].number)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
