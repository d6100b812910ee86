// Package pipe decides which calls of a caller's connection may start, and when its next request may be read. Responses
// are returned in the order of the requests, so that the calls of a connection form a line.
package pipe

import (
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/rules"
)

const (
	// DefaultCalls is the number of calls on a connection up to which further requests are read.
	DefaultCalls = 32
	// DefaultBytes is the size of the requests on a connection up to which further ones are read.
	DefaultBytes ident.Bytes = 256 << 10
	// DefaultTotal is the number of calls that are read ahead on all connections together. A call that waits at a server takes
	// up to 32 KB of heap and stack, so that these take 16 MB at most.
	DefaultTotal = 512
)

// Limits limits what is read from a connection before the first call in the line is answered.
type Limits struct {
	Calls int
	Bytes ident.Bytes
	// Total limits the calls of all connections that are not the first in their lines.
	Total int
}

// DefaultLimits returns the limits of a connection.
func DefaultLimits() Limits {
	return Limits{Calls: DefaultCalls, Bytes: DefaultBytes, Total: DefaultTotal}
}

// Request describes a request for the decision about its start.
type Request struct {
	Kind rules.Kind
	// Size is the size of the head and of the body.
	Size ident.Bytes
	// Unbounded is set if the body's length is unknown.
	Unbounded bool
	// Last is set if the connection ends with the response, so that no request behind it counts as read.
	Last bool
}

// entry is one call in the line.
type entry struct {
	size ident.Bytes
	// alone is set if the call starts only when all before it are answered, and no other starts until it is answered.
	alone bool
}

// Line is the line of calls of one connection that are not answered yet. It is not safe for concurrent use.
type Line struct {
	limits  Limits
	entries []entry
	// started is the number of calls that have started. They are the first ones of the line.
	started int
	size    ident.Bytes
	// ended is set once a request was added behind which nothing is read.
	ended bool
}

// New returns an empty line.
func New(limits Limits) *Line { return &Line{limits: limits} }

// Len returns the number of calls that are not answered yet.
func (l *Line) Len() int { return len(l.entries) }

// Started returns the number of these calls that have started.
func (l *Line) Started() int { return l.started }

// Ended reports whether the line takes no more calls.
func (l *Line) Ended() bool { return l.ended }

// MayRead reports whether the next request may be read, while total calls are read ahead on all connections. The first one
// in a line is always read.
func (l *Line) MayRead(total int) bool {
	if l.ended {
		return false
	}
	return len(l.entries) == 0 || len(l.entries) < l.limits.Calls && l.size < l.limits.Bytes && total < l.limits.Total
}

// Add appends a call. It returns false if the line takes no more calls. A call whose body may exceed what is read ahead
// is treated like an unsafe one, since its body is read only when it is the first.
func (l *Line) Add(r Request) bool {
	if l.ended {
		return false
	}
	large := len(l.entries) > 0 && (r.Unbounded || l.size+r.Size > l.limits.Bytes)
	l.entries = append(l.entries, entry{size: r.Size, alone: r.Kind != rules.KindSafe || large})
	l.size += r.Size
	l.ended = r.Last
	return true
}

// Start returns the position of the next call that may start, and counts it as started. It returns false if none may.
func (l *Line) Start() (int, bool) {
	n := l.started
	if n == len(l.entries) || n > 0 && (l.entries[n].alone || l.entries[n-1].alone) {
		return 0, false
	}
	l.started++
	return n, true
}

// Answer removes the first call, which is answered.
func (l *Line) Answer() {
	l.size -= l.entries[0].size
	l.entries = append(l.entries[:0], l.entries[1:]...)
	l.started--
}

// End removes all calls and lets the line take no more. It returns the number of calls that had not started.
func (l *Line) End() int {
	dropped := len(l.entries) - l.started
	*l = Line{limits: l.limits, ended: true}
	return dropped
}
