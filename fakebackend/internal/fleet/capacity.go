package fleet

import (
	"sync"

	"goldcreststand.example/core/ident"
)

// warmCalls is the number of completed calls after which a cold server's capacity doubles.
const warmCalls = 10

// capacity is the number of calls that a server can work on. A cold server starts with one slot; when
// twice its capacity is in flight it falls over, which means that calls fail and it is cold again.
type capacity struct {
	mu       sync.Mutex
	slots    ident.Slots
	warm     ident.Slots
	done     int
	inflight ident.Slots
	peak     ident.Slots
	exceeded int64
}

func newCapacity(slots ident.Slots) *capacity { return &capacity{slots: slots, warm: slots} }

// cool makes the server cold.
func (c *capacity) cool() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warm, c.done = min(1, c.slots), 0
}

// enter takes a place. It returns the number in flight and whether the server works on the call.
func (c *capacity) enter() (n ident.Slots, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inflight++
	c.peak = max(c.peak, c.inflight)
	if c.inflight > c.warm {
		c.exceeded++
	}
	if c.warm < c.slots && c.inflight > 2*c.warm {
		c.warm, c.done = 1, 0
		return c.inflight, false
	}
	return c.inflight, true
}

// leave gives a place back.
func (c *capacity) leave(completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inflight--
	if !completed || c.warm >= c.slots {
		return
	}
	if c.done++; c.done >= warmCalls {
		c.warm, c.done = min(2*c.warm, c.slots), 0
	}
}

// load returns the calls in flight and the current capacity.
func (c *capacity) load() (inflight, slots ident.Slots) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inflight, c.warm
}

// counts returns the largest number in flight and the calls that began beyond the capacity.
func (c *capacity) counts() (peak ident.Slots, exceeded int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak, c.exceeded
}
