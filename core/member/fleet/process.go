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

// Process is one simulated process of an instance.
type Process struct {
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
func (p *Process) ID() ident.InstanceID { return p.id }

// Core returns the membership of the process.
func (p *Process) Core() *member.Core { return p.core }

// Running reports whether the process runs.
func (p *Process) Running() bool { return p.state == stateRunning }

// Paused reports whether the process is paused.
func (p *Process) Paused() bool { return p.state == statePaused }

// LeaveCompleted reports whether the process has finished announcing that it leaves.
func (p *Process) LeaveCompleted() bool { return p.leaveCompleted }

// ProcessorTime returns the processor time that the core took, as measured by the clock of WithClock.
func (p *Process) ProcessorTime() time.Duration { return p.processorTime }

// Crash ends the process. With silent, connections to it get no response; without, they are refused.
func (p *Process) Crash(silent bool) {
	p.state = stateRefusing
	if silent {
		p.state = stateSilent
	}
}

// Pause stops the process until Resume.
func (p *Process) Pause() { p.state = statePaused }

// Resume continues a paused process. It handles the events of the pause first.
func (p *Process) Resume() {
	p.state = stateRunning
	queued := p.queued
	p.queued = nil
	for _, ev := range queued {
		p.handle(ev)
	}
	p.handle(member.Tick{})
}

// Leave starts a graceful shutdown.
func (p *Process) Leave() { p.handle(member.LeaveRequested{}) }

func (p *Process) tick() {
	switch p.state {
	case stateRunning:
		p.handle(member.Tick{})
	case stateSilent, stateRefusing:
		return
	case statePaused:
	}
	p.fleet.schedule(tickInterval, p.tick)
}

func (p *Process) handle(ev member.Event) {
	switch p.state {
	case stateSilent, stateRefusing:
		return
	case statePaused:
		p.queued = append(p.queued, ev)
		return
	case stateRunning:
	}
	begin := p.fleet.clock()
	actions := p.core.Handle(withTime(ev, p.fleet.now))
	p.processorTime += p.fleet.clock().Sub(begin)
	for _, a := range actions {
		switch a := a.(type) {
		case member.SendPing:
			p.fleet.send(p, a)
		case member.SendPong:
			p.fleet.reply(p, a)
		case member.LeaveCompleted:
			p.leaveCompleted = true
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
