package member

import (
	"goldcreststand.example/core/ident"
)

// Ping is a heartbeat with gossip.
type Ping struct {
	Sender      ident.InstanceID
	Incarnation ident.Incarnation
	// Target is the instance that the receiver is asked to ping, or empty.
	Target ident.InstanceID
	// Pull asks for the members whose identifiers follow After.
	Pull    bool
	After   ident.InstanceID
	Members []Record
}

// Pong is the response to a Ping.
type Pong struct {
	Sender      ident.InstanceID
	Incarnation ident.Incarnation
	// TargetReached says whether the Target of the ping responded.
	TargetReached bool
	// More says whether members follow those that were asked for.
	More bool
	// LiveMembers is the number of live members that the sender knows, in a response to a Pull.
	LiveMembers int
	Members     []Record
}
