package member

import (
	"net/netip"
	"time"
)

// Exchange identifies a ping that this instance sent.
type Exchange uint64

// Ticket identifies a ping that this instance received and that waits for its response.
type Ticket uint64

// Event is something that a Core learns.
type Event interface {
	at() time.Time
	apply(c *Core)
}

// Tick says that time has passed. A Core needs several ticks per Interval.
type Tick struct{ At time.Time }

// Received says that a ping arrived. A Reply action with the ticket follows, at once or when the ping's
// target has responded.
type Received struct {
	At     time.Time
	Ticket Ticket
	Ping   Ping
}

// Answered says that a pong arrived.
type Answered struct {
	At       time.Time
	Exchange Exchange
	Pong     Pong
}

// Failed says that a ping got no response.
type Failed struct {
	At       time.Time
	Exchange Exchange
}

// Leave says that this instance shuts down.
type Leave struct{ At time.Time }

var (
	_ Event = Tick{}
	_ Event = Received{}
	_ Event = Answered{}
	_ Event = Failed{}
	_ Event = Leave{}
)

func (e Tick) at() time.Time     { return e.At }
func (e Received) at() time.Time { return e.At }
func (e Answered) at() time.Time { return e.At }
func (e Failed) at() time.Time   { return e.At }
func (e Leave) at() time.Time    { return e.At }

// Action is something to be done for a Core.
type Action interface{ action() }

// Send asks for a ping to an address. Answered or Failed follows within Config.Suspect.
type Send struct {
	Exchange Exchange
	To       netip.AddrPort
	Ping     Ping
}

// Reply asks for the response to a received ping.
type Reply struct {
	Ticket Ticket
	Pong   Pong
}

// Conflict reports that another process uses this instance's name.
type Conflict struct{ Record Record }

// Changed reports that an instance entered another state, or started anew.
type Changed struct{ Record Record }

// Departed reports that the leave was announced to others, as far as they respond.
type Departed struct{}

var (
	_ Action = Send{}
	_ Action = Reply{}
	_ Action = Conflict{}
	_ Action = Changed{}
	_ Action = Departed{}
)

func (Send) action()     {}
func (Reply) action()    {}
func (Conflict) action() {}
func (Changed) action()  {}
func (Departed) action() {}
