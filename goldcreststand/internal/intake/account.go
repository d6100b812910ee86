package intake

import (
	"net"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/goldcreststand/internal/http1"
)

var (
	_ http1.Budget  = (*Gate)(nil)
	_ http1.Account = (*Conn)(nil)
)

// Account returns the account of a connection that a listener of the gate has accepted. Any other is counted from now on.
func (g *Gate) Account(nc net.Conn) http1.Account {
	if c, ok := nc.(*Conn); ok {
		return c
	}
	return g.open(nc, budget.ClassCalls)
}

// Take reserves memory for n units of an item, and reports whether there is room.
func (c *Conn) Take(item budget.Item, n int64) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	ok := c.gate.budget.Take(c.id, item, n)
	if !ok {
		c.gate.note(measure{action: actionRefuse, class: c.class, cause: item.String()}, c, budget.Victim{})
	}
	return ok
}

// Charge counts n units of an item that are held already.
func (c *Conn) Charge(item budget.Item, n int64) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.budget.Charge(c.id, item, n)
}

// Return gives back n units of an item.
func (c *Conn) Return(item budget.Item, n int64) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.budget.Return(c.id, item, n)
	c.gate.signalRoom()
}

// MayReadAhead reports whether a request may be read before the earlier ones of its connection are answered.
func (c *Conn) MayReadAhead() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.budget.MayReadAhead()
}

// BeginCall notes that a request has arrived whole, so that the caller can make no progress until it is answered.
func (c *Conn) BeginCall() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.requests++
	c.gate.enter(c)
}

// EndCall notes that a request was answered.
func (c *Conn) EndCall() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.requests--
	c.gate.enter(c)
}
