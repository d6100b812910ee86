package http1

import (
	"goldcreststand.example/core/budget"
	"goldcreststand.example/core/ident"
)

// holding is what one call has reserved in the account of its connection. The mutex of the connection guards it.
type holding struct {
	// size is the memory of the call with its head, and item the one that it was reserved for.
	size         int64
	item         budget.Item
	body, answer int64
	// begun reports that the request has arrived whole.
	begun bool
}

// reserve reserves the memory of a call, its head and what was read with it, and reports whether there is room. Behind other
// calls it counts as read ahead. It is one reservation, because it is due with each call. c.mu is locked.
func (c *conn) reserve(x *call) bool {
	if x.isFixed {
		return true
	}
	item := budget.ItemHead
	if len(c.calls) > 0 {
		item = budget.ItemAhead
	}
	size := int64(budget.ItemCall.Cost(1) + budget.ItemField.Cost(x.fields) + ident.Bytes(x.headSize+x.kept))
	if !c.account.Take(item, size) {
		return false
	}
	x.held.size, x.held.item = size, item
	return true
}

// release gives back all that a call has reserved, when it leaves the line. c.mu is locked.
func (c *conn) release(x *call) {
	h := x.held
	x.held = holding{}
	if x.ahead {
		x.ahead = false
		c.srv.ahead.Add(-1)
	}
	if h.begun {
		c.account.EndCall()
	}
	if h.size > 0 {
		c.account.Return(h.item, h.size)
	}
	if h.body > 0 {
		c.account.Return(budget.ItemBody, h.body)
	}
	if h.answer > 0 {
		c.account.Return(budget.ItemAnswer, h.answer)
	}
}

// begin notes that a request has arrived whole. c.mu is locked.
func (c *conn) begin(x *call) {
	if !x.held.begun && !c.closing {
		x.held.begun = true
		c.account.BeginCall()
	}
}

// TakeBody reserves memory for further bytes of the request's body that the handler keeps, and reports whether there is room.
// The memory is given back after the response.
func (w *response) TakeBody(n ident.Bytes) bool {
	c := w.x.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.account.Take(budget.ItemBody, int64(n)) {
		return false
	}
	w.x.held.body += int64(n)
	return true
}

// BodyRead notes that the handler has read the request.
func (w *response) BodyRead() {
	w.x.c.mu.Lock()
	defer w.x.c.mu.Unlock()
	w.x.c.begin(w.x)
}

// HoldAnswer counts an answer that the handler keeps until the caller has taken it.
func (w *response) HoldAnswer(n ident.Bytes) {
	c := w.x.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.account.Charge(budget.ItemAnswer, int64(n))
		w.x.held.answer += int64(n)
	}
}
