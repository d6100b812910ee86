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
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
