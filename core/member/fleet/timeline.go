package fleet

import (
	"container/heap"
	"time"
)

// event is a function that is to be called at a virtual time.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

// eventQueue orders events by time. Events with the same time keep the order in which they were added.
type eventQueue []*event

var _ heap.Interface = (*eventQueue)(nil)

// Len implements heap.Interface.
func (t eventQueue) Len() int { return len(t) }

// Less implements heap.Interface.
func (t eventQueue) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].seq < t[j].seq
}

// Swap implements heap.Interface.
func (t eventQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *eventQueue) Push(x any) { *t = append(*t, x.(*event)) }

// Pop implements heap.Interface.
func (t *eventQueue) Pop() any {
	old := *t
	e := old[len(old)-1]
	*t = old[:len(old)-1]
	return e
}
