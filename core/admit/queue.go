package admit

import (
	"math"
	"slices"
	"time"
)

const (
	// drainSmoothing is the weight of the newest gap in the mean time between two calls that get a server.
	drainSmoothing = 0.2
	// maxKept is the number of freed slots in a row that an instance with waiting calls keeps.
	maxKept = 2
	// drainMemory is the time after which the mean of an earlier queue says nothing about a new one.
	drainMemory = time.Second
	// MinRetryAfter is the least time after which a refused caller comes back, unless its own time ends before. Load
	// shifts within milliseconds.
	MinRetryAfter = 30 * time.Millisecond
	// retrySpread is the largest relative deviation of a time of return, so that refused callers do not return at once.
	retrySpread = 0.25
	// retryParts is the number of parts of a caller's remaining time of which one may pass before it comes back.
	retryParts = 3
)

// Queue holds the calls of one service that wait for a server at this instance, each with a value of the caller's. The
// zero value is empty. It is not safe for concurrent use.
type Queue[T any] struct {
	// entries are in the order of arrival.
	entries []*Entry[T]
	// drain is the mean time between two calls that got a server while calls were waiting, or 0 if it is unknown.
	drain time.Duration
	// lastServed is the time of the last of these, or the time since which calls have been waiting.
	lastServed time.Time
	// kept counts the slots in a row that calls of this instance have freed and waiting calls of it got.
	kept int
}

// Entry is a waiting call.
type Entry[T any] struct {
	Call  Call
	Value T
	// awake reports that the call picks a server, or has been told to.
	awake bool
	// passed reports that another call took its turn.
	passed bool
}

// Clone returns a copy without the values, whose changes do not affect q.
func (q *Queue[T]) Clone() Queue[T] {
	out := *q
	out.entries = make([]*Entry[T], len(q.entries))
	for i, e := range q.entries {
		out.entries[i] = &Entry[T]{Call: e.Call, awake: e.awake, passed: e.passed}
	}
	return out
}

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int { return len(q.entries) }

// ahead returns the number of waiting calls that get a server before a new one.
func (q *Queue[T]) ahead(c Call, now time.Time) int {
	n := 0
	for _, e := range q.entries {
		if e.Call.before(c, now) {
			n++
		}
	}
	return n
}

// First reports whether a new call may pick a server although others are waiting.
func (q *Queue[T]) First(c Call, now time.Time) bool { return q.ahead(c, now) == 0 }

// Policy returns the policy for a call that is waiting or arrives.
func (q *Queue[T]) Policy(c Call, now time.Time) DeadlineWait {
	return DeadlineWait{Waiting: len(q.entries), Wait: time.Duration(q.ahead(c, now)) * q.drain}
}

// Add adds a call. It is awake if it is about to pick a server.
func (q *Queue[T]) Add(c Call, v T, awake bool, now time.Time) *Entry[T] {
	if len(q.entries) == 0 {
		if now.Sub(q.lastServed) > drainMemory {
			q.drain = 0
		}
		q.lastServed = now
	}
	e := &Entry[T]{Call: c, Value: v, awake: awake}
	q.entries = append(q.entries, e)
	return e
}

// Sleep records that a call found no acceptable server.
func (q *Queue[T]) Sleep(e *Entry[T]) { e.awake = false }

// Wake returns up to n calls that should pick a server, because as many slots are known to be free.
func (q *Queue[T]) Wake(n int, now time.Time) []*Entry[T] {
	var out []*Entry[T]
	for ; n > 0; n-- {
		e := q.first(now)
		if e == nil {
			break
		}
		e.awake = true
		out = append(out, e)
	}
	return out
}

// Free returns the call that should pick a server because a call of this instance has freed a slot, or nil. Every slot that
// this instance keeps is one that others do not get, so that it leaves some of them: otherwise an instance that has few
// would get few for as long as the servers are saturated. It keeps none for calls that can only be late.
func (q *Queue[T]) Free(now time.Time) *Entry[T] {
	e := q.first(now)
	if q.kept >= maxKept || e == nil || e.Call.late(now, 0) {
		q.kept = 0
		return nil
	}
	q.kept++
	e.awake = true
	return e
}

// Due returns the call that should pick a server when the interval of e has passed: the first in order. A call whose turn
// was taken once takes the next itself, because the first may be excluded from the servers that are free.
func (q *Queue[T]) Due(e *Entry[T], now time.Time) *Entry[T] {
	if e.awake {
		return e
	}
	best := q.first(now)
	if e.passed {
		best = e
	}
	e.passed = best != e
	best.awake = true
	return best
}

// first returns the first call in order that is not awake, or nil.
func (q *Queue[T]) first(now time.Time) *Entry[T] {
	var best *Entry[T]
	for _, e := range q.entries {
		if !e.awake && (best == nil || !best.Call.before(e.Call, now)) {
			best = e
		}
	}
	return best
}

// Remove removes a call. If it was awake and has not used its turn, used is false, and Remove returns the call that should
// pick a server instead, or nil.
func (q *Queue[T]) Remove(e *Entry[T], used bool, now time.Time) *Entry[T] {
	if i := slices.Index(q.entries, e); i >= 0 {
		q.entries = slices.Delete(q.entries, i, i+1)
	}
	if !e.awake || used {
		return nil
	}
	if next := q.Wake(1, now); len(next) > 0 {
		return next[0]
	}
	return nil
}

// Serve records that a call got a server while others may be waiting.
func (q *Queue[T]) Serve(now time.Time) {
	if len(q.entries) == 0 {
		return
	}
	gap := max(0, now.Sub(q.lastServed))
	if q.drain > 0 {
		gap = q.drain + time.Duration(drainSmoothing*float64(gap-q.drain))
	}
	q.drain, q.lastServed = gap, now
}

// RetryAfter returns the time after which a refused caller may come back: the time in which the calls that wait now have
// got a server. It is at most a third of the time that the caller has left. The random number is from 0 to 1.
func (q *Queue[T]) RetryAfter(left time.Duration, random float64) time.Duration {
	spread := 1 + retrySpread*(2*random-1)
	d := float64(len(q.entries)+1) * float64(q.drain) * spread
	return min(max(MinRetryAfter, time.Duration(math.Round(d))), max(0, left/retryParts))
}
