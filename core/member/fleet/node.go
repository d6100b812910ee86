package fleet

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
)

// state is the state of a simulated process.
type state int

// States of a process.
const (
	stateRunning state = iota
	// statePaused queues events until the process runs again.
	statePaused
	// stateSilent is a crashed process whose machine does not respond to connections.
	stateSilent
	// stateRefusing is an ended process whose machine refuses connections to it.
	stateRefusing
)

// Node is one simulated process of an instance.
type Node struct {
	fleet          *Fleet
	id             ident.InstanceID
	generation     int
	core           *member.Core
	state          state
	queued         []member.Event
	leaveCompleted bool
	processorTime  time.Duration
}

// ID returns the identifier of the instance.
func (n *Node) ID() ident.InstanceID { return n.id }

// Core returns the membership of the process.
func (n *Node) Core() *member.Core { return n.core }

// Running reports whether the process runs.
func (n *Node) Running() bool { return n.state == stateRunning }

// Paused reports whether the process is paused.
func (n *Node) Paused() bool { return n.state == statePaused }

// LeaveCompleted reports whether the process has finished announcing that it leaves.
func (n *Node) LeaveCompleted() bool { return n.leaveCompleted }

// ProcessorTime returns the processor time that the core took, as measured by the clock of WithClock.
func (n *Node) ProcessorTime() time.Duration { return n.processorTime }

// Crash ends the process. With silent, connections to it get no response; without, they are refused.
func (n *Node) Crash(silent bool) {
	n.state = stateRefusing
	if silent {
		n.state = stateSilent
	}
}

// Pause stops the process until Resume.
func (n *Node) Pause() { n.state = statePaused }

// Resume continues a paused process. It handles the events of the pause first.
func (n *Node) Resume() {
	n.state = stateRunning
	queued := n.queued
	n.queued = nil
	for _, ev := range queued {
		n.handle(ev)
	}
	n.handle(member.Tick{})
}

// Leave starts a graceful shutdown.
func (n *Node) Leave() { n.handle(member.LeaveRequested{}) }

func (n *Node) tick() {
	switch n.state {
	case stateRunning:
		n.handle(member.Tick{})
	case stateSilent, stateRefusing:
		return
	case statePaused:
	}
	n.fleet.schedule(tickInterval, n.tick)
}

func (n *Node) handle(ev member.Event) {
	switch n.state {
	case stateSilent, stateRefusing:
		return
	case statePaused:
		n.queued = append(n.queued, ev)
		return
	case stateRunning:
	}
	begin := n.fleet.clock()
	actions := n.core.Handle(withTime(ev, n.fleet.now))
	n.processorTime += n.fleet.clock().Sub(begin)
	for _, a := range actions {
		switch a := a.(type) {
		case member.SendPing:
			n.fleet.send(n, a)
		case member.SendPong:
			n.fleet.reply(n, a)
		case member.LeaveCompleted:
			n.leaveCompleted = true
		}
	}
}

// withTime returns the event with its time set.
func withTime(ev member.Event, now time.Time) member.Event {
	switch ev := ev.(type) {
	case member.Tick:
		ev.At = now
		return ev
	case member.PingReceived:
		ev.At = now
		return ev
	case member.PongReceived:
		ev.At = now
		return ev
	case member.PingFailed:
		ev.At = now
		return ev
	case member.LeaveRequested:
		ev.At = now
		return ev
	default:
		return ev
	}
}
