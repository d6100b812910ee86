package limit

import (
	"time"

	"goldcreststand.example/core/ident"
)

// Class is the priority class of a call: the urgency of RFC 9218, section 4.1. Lower numbers are served
// first.
type Class int

// Priority classes of calls.
const (
	// DefaultClass is the class of a call that specifies none.
	DefaultClass Class = 3
	// classCount is the number of classes, 0 to 7.
	classCount = 8
)

// Valid reports whether the class is one of 0 to 7.
func (c Class) Valid() bool { return c >= 0 && c < classCount }

// Call is a call that requests a slot.
type Call struct {
	Tenant ident.TenantName
	Class  Class
	// Deadline is the boot-time clock reading after which the call must not start.
	Deadline time.Duration
}

// Entry is a call in a Queue with a value attached by the owner of the queue.
type Entry[T any] struct {
	Call  Call
	Value T

	queue      *tenantQueue[T]
	prev, next *Entry[T]
}

// Waiting reports whether the call is in the queue.
func (e *Entry[T]) Waiting() bool { return e.queue != nil }

// tenantQueue holds the waiting calls of one tenant and class in order of arrival.
type tenantQueue[T any] struct {
	tenant      ident.TenantName
	class       Class
	first, last *Entry[T]
	length      int
}

func (q *tenantQueue[T]) push(e *Entry[T]) {
	e.queue, e.prev = q, q.last
	if q.last == nil {
		q.first = e
	} else {
		q.last.next = e
	}
	q.last = e
	q.length++
}

func (q *tenantQueue[T]) remove(e *Entry[T]) {
	if e.prev == nil {
		q.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		q.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.queue, e.prev, e.next = nil, nil, nil
	q.length--
}
