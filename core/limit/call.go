package limit

import (
	"time"

	"goldcreststand.example/core/ident"
)

// Class is the priority of a call: its urgency by RFC 9218, section 4.1. A lower number goes first.
type Class int

// Classes of calls.
const (
	// DefaultClass is the class of a call that names none.
	DefaultClass Class = 3
	// classCount is the number of classes, 0 to 7.
	classCount = 8
)

// Valid reports whether the class is one of 0 to 7.
func (c Class) Valid() bool { return c >= 0 && c < classCount }

// Call is a call that asks for a slot.
type Call struct {
	Tenant ident.TenantName
	Class  Class
	// Deadline is the boot-time clock's reading after which the call must not start.
	Deadline time.Duration
}

// Entry is a call in a Queue with the value that the owner of the queue attached to it.
type Entry[T any] struct {
	Call  Call
	Value T

	line       *line[T]
	prev, next *Entry[T]
}

// Waiting reports whether the call is in the queue.
func (e *Entry[T]) Waiting() bool { return e.line != nil }

// line holds the waiting calls of one tenant and class in order of arrival.
type line[T any] struct {
	tenant      ident.TenantName
	class       Class
	first, last *Entry[T]
	length      int
}

func (l *line[T]) add(e *Entry[T]) {
	e.line, e.prev = l, l.last
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}
	l.last = e
	l.length++
}

func (l *line[T]) remove(e *Entry[T]) {
	if e.prev == nil {
		l.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.line, e.prev, e.next = nil, nil, nil
	l.length--
}
