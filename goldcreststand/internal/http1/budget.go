package http1

import (
	"net"

	"goldcreststand.example/core/budget"
)

// Budget limits what the connections of all callers make the process hold. Its methods must not block.
type Budget interface {
	// Account returns the account of a connection.
	Account(nc net.Conn) Account
}

// Account counts what one connection makes the process hold. It ends with the connection.
type Account interface {
	// Take reserves memory for n units of an item, and reports whether there is room.
	Take(item budget.Item, n int64) bool
	// Charge counts n units of an item that are held already.
	Charge(item budget.Item, n int64)
	// Return gives back n units of an item.
	Return(item budget.Item, n int64)
	// MayReadAhead reports whether a request may be read before the earlier ones are answered.
	MayReadAhead() bool
	// BeginCall notes that a request has arrived whole: its caller can make no progress until it is answered. EndCall
	// follows when it was.
	BeginCall()
	EndCall()
}

// unlimited is a Budget without a limit. It is its own account.
type unlimited struct{}

var (
	_ Budget  = unlimited{}
	_ Account = unlimited{}
)

// Account returns an account without a limit.
func (unlimited) Account(net.Conn) Account { return unlimited{} }

// Take returns true.
func (unlimited) Take(budget.Item, int64) bool { return true }

// Charge does nothing.
func (unlimited) Charge(budget.Item, int64) {}

// Return does nothing.
func (unlimited) Return(budget.Item, int64) {}

// MayReadAhead returns true.
func (unlimited) MayReadAhead() bool { return true }

// BeginCall does nothing.
func (unlimited) BeginCall() {}

// EndCall does nothing.
func (unlimited) EndCall() {}
