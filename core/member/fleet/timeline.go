package fleet

import (
	"container/heap"
	"time"
)

// entry is something that happens at a time.
type entry struct {
	at  time.Time
	seq uint64
	do  func()
}

// timeline orders entries by time; those of one time keep the order in which they were added.
type timeline []*entry

var _ heap.Interface = (*timeline)(nil)

// Len implements heap.Interface.
func (t timeline) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timeline) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].seq < t[j].seq
}

// Swap implements heap.Interface.
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timeline) Push(x any) { *t = append(*t, x.(*entry)) }

// Pop implements heap.Interface.
func (t *timeline) Pop() any {
	old := *t
	e := old[len(old)-1]
	*t = old[:len(old)-1]
	return e
}
