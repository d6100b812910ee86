package member

import (
	"goldcreststand.example/core/ident"
)

// Ping is a heartbeat with gossip.
type Ping struct {
	Sender      ident.InstanceID
	Incarnation ident.Incarnation
	// Target is the instance that the receiver should probe, or empty.
	Target ident.InstanceID
	// Pull requests the page of members whose identifiers follow After.
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
	// More says whether further members follow those of the page.
	More bool
	// LiveMembers is the number of live instances that the sender knows, itself included. It is set in the
	// response to a Pull.
	LiveMembers int
	Members     []Record
}
