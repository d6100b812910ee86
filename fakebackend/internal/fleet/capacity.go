package fleet

import (
	"sync"

	"goldcreststand.example/core/ident"
)

// warmCalls is the number of completed calls after which a cold server's capacity doubles.
const warmCalls = 10

// capacity limits the calls that a server can handle. A cold server starts with one slot. When more than
// twice its current capacity is in flight, it is overloaded: the new call fails and the server is cold again.
type capacity struct {
	mu         sync.Mutex
	slots      ident.Slots
	current    ident.Slots
	completed  int
	inflight   ident.Slots
	peak       ident.Slots
	violations int64
}

func newCapacity(slots ident.Slots) *capacity { return &capacity{slots: slots, current: slots} }

// makeCold resets the server to the capacity of a cold server.
func (c *capacity) makeCold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.completed = min(1, c.slots), 0
}

// acquire adds a call in flight. It returns the number of calls in flight, and false if the call fails
// because the server is overloaded.
func (c *capacity) acquire() (n ident.Slots, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inflight++
	c.peak = max(c.peak, c.inflight)
	if c.inflight > c.current {
		c.violations++
	}
	if c.current < c.slots && c.inflight > 2*c.current {
		c.current, c.completed = 1, 0
		return c.inflight, false
	}
	return c.inflight, true
}

// release removes a call in flight.
func (c *capacity) release(completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inflight--
	if !completed || c.current >= c.slots {
		return
	}
	if c.completed++; c.completed >= warmCalls {
		c.current, c.completed = min(2*c.current, c.slots), 0
	}
}

// load returns the calls in flight and the current capacity.
func (c *capacity) load() (inflight, slots ident.Slots) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inflight, c.current
}

// counts returns the largest number of calls in flight so far, and the number of calls that started while
// the server was at capacity.
func (c *capacity) counts() (peak ident.Slots, violations int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak, c.violations
}
