package member

import (
	"net/netip"
	"time"
)

// PingID identifies a ping that this instance has sent.
type PingID uint64

// ReplyToken identifies a received ping that has not been answered yet.
type ReplyToken uint64

// Event is an input of a Core.
type Event interface {
	at() time.Time
	apply(c *Core)
}

// Tick reports that time has passed. A Core needs several ticks per ProbeInterval.
type Tick struct{ At time.Time }

// PingReceived reports a ping from another instance. A SendPong action with the token follows, immediately
// or after the probe of the ping's target has ended.
type PingReceived struct {
	At    time.Time
	Token ReplyToken
	Ping  Ping
}

// PongReceived reports the response to a ping.
type PongReceived struct {
	At   time.Time
	ID   PingID
	Pong Pong
}

// PingFailed reports that a ping got no response.
type PingFailed struct {
	At time.Time
	ID PingID
}

// LeaveRequested reports that this instance shuts down.
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

// Action is an output of a Core, to be executed by the code that calls Handle.
type Action interface{ action() }

// SendPing sends a ping to an address. PongReceived or PingFailed must follow within Config.SuspectTimeout.
type SendPing struct {
	ID   PingID
	To   netip.AddrPort
	Ping Ping
}

// SendPong sends the response to a received ping.
type SendPong struct {
	Token ReplyToken
	Pong  Pong
}

// NameConflict reports that another process uses the name of this instance.
type NameConflict struct{ Record Record }

// RecordChanged reports that a member entered another state or restarted.
type RecordChanged struct{ Record Record }

// LeaveCompleted reports that every ping announcing the leave was answered or failed.
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
