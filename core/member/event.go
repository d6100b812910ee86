package member

import (
	"net/netip"
	"time"
)

// PingID identifies a ping that this instance sent.
type PingID uint64

// ReplyToken identifies a ping that this instance received and that waits for its response.
type ReplyToken uint64

// Event is something that a Core learns.
type Event interface {
	at() time.Time
	apply(c *Core)
}

// Tick says that time has passed. A Core needs several ticks per Interval.
type Tick struct{ At time.Time }

// PingReceived says that a ping arrived. A Reply action with the ticket follows, at once or when the ping's
// target has responded.
type PingReceived struct {
	At    time.Time
	Token ReplyToken
	Ping  Ping
}

// PongReceived says that a pong arrived.
type PongReceived struct {
	At   time.Time
	ID   PingID
	Pong Pong
}

// PingFailed says that a ping got no response.
type PingFailed struct {
	At time.Time
	ID PingID
}

// LeaveRequested says that this instance shuts down.
type LeaveRequested struct{ At time.Time }

var (
	_ Event = Tick{}
	_ Event = PingReceived{}
	_ Event = PongReceived{}
	_ Event = PingFailed{}
	_ Event = LeaveRequested{}
)

func (e Tick) at() time.Time           { return e.At }
func (e PingReceived) at() time.Time   { return e.At }
func (e PongReceived) at() time.Time   { return e.At }
func (e PingFailed) at() time.Time     { return e.At }
func (e LeaveRequested) at() time.Time { return e.At }

// Action is something to be done for a Core.
type Action interface{ action() }

// SendPing asks for a ping to an address. Answered or Failed follows within Config.Suspect.
type SendPing struct {
	ID   PingID
	To   netip.AddrPort
	Ping Ping
}

// SendPong asks for the response to a received ping.
type SendPong struct {
	Token ReplyToken
	Pong  Pong
}

// NameConflict reports that another process uses this instance's name.
type NameConflict struct{ Record Record }

// RecordChanged reports that an instance entered another state, or started anew.
type RecordChanged struct{ Record Record }

// LeaveCompleted reports that the leave was announced to others, as far as they respond.
type LeaveCompleted struct{}

var (
	_ Action = SendPing{}
	_ Action = SendPong{}
	_ Action = NameConflict{}
	_ Action = RecordChanged{}
	_ Action = LeaveCompleted{}
)

func (SendPing) action()       {}
func (SendPong) action()       {}
func (NameConflict) action()   {}
func (RecordChanged) action()  {}
func (LeaveCompleted) action() {}
