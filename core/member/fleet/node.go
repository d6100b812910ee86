package fleet

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
)

// state says what a process does.
type state int

// States of a process.
const (
	stateRunning state = iota
	// statePaused keeps what arrives until the process runs again.
	statePaused
	// stateSilent is that of a process on a machine that is gone: nothing comes back.
	stateSilent
	// stateRefusing is that of a process that ended on a machine that refuses connections to it.
	stateRefusing
)

// Node is one process.
type Node struct {
	fleet    *Fleet
	id       ident.InstanceID
	life     int
	core     *member.Core
	state    state
	waiting  []member.Event
	departed bool
	spent    time.Duration
}

// ID returns the identifier of the instance.
func (n *Node) ID() ident.InstanceID { return n.id }

// Core returns the membership of the process.
func (n *Node) Core() *member.Core { return n.core }

// Running reports whether the process runs.
func (n *Node) Running() bool { return n.state == stateRunning }

// Paused reports whether the process is paused.
func (n *Node) Paused() bool { return n.state == statePaused }

// Departed reports whether the process has announced that it leaves.
func (n *Node) Departed() bool { return n.departed }

// Spent returns the processor time that the core took, as measured by the clock of WithClock.
func (n *Node) Spent() time.Duration { return n.spent }

// Crash ends the process. With silent, connections to it get no response; without, they are refused.
func (n *Node) Crash(silent bool) {
	n.state = stateRefusing
	if silent {
		n.state = stateSilent
	}
}

// Pause stops the process until Resume.
func (n *Node) Pause() { n.state = statePaused }

// Resume lets a paused process run; what arrived in the pause is handled first.
func (n *Node) Resume() {
	n.state = stateRunning
	waiting := n.waiting
	n.waiting = nil
	for _, ev := range waiting {
		n.handle(ev)
	}
	n.handle(member.Tick{})
}

// Leave starts a graceful shutdown.
func (n *Node) Leave() { n.handle(member.Leave{}) }

func (n *Node) tick() {
	switch n.state {
	case stateRunning:
		n.handle(member.Tick{})
	case stateSilent, stateRefusing:
		return
	case statePaused:
	}
	n.fleet.after(tickInterval, n.tick)
}

func (n *Node) handle(ev member.Event) {
	switch n.state {
	case stateSilent, stateRefusing:
		return
	case statePaused:
		n.waiting = append(n.waiting, ev)
		return
	case stateRunning:
	}
	begin := n.fleet.wall()
	actions := n.core.Handle(stamp(ev, n.fleet.now))
	n.spent += n.fleet.wall().Sub(begin)
	for _, a := range actions {
		switch a := a.(type) {
		case member.Send:
			n.fleet.send(n, a)
		case member.Reply:
			n.fleet.reply(n, a)
		case member.Departed:
			n.departed = true
		}
	}
}

// stamp sets the time of the event.
func stamp(ev member.Event, now time.Time) member.Event {
	switch ev := ev.(type) {
	case member.Tick:
		ev.At = now
		return ev
	case member.Received:
		ev.At = now
		return ev
	case member.Answered:
		ev.At = now
		return ev
	case member.Failed:
		ev.At = now
		return ev
	case member.Leave:
		ev.At = now
		return ev
	default:
		return ev
	}
}
