package pool

import "time"

// ConnID numbers the connections to one server.
type ConnID uint64

// Event is something that happened to the connections of a server.
type Event interface {
	apply(p *Pool)
}

type (
	// Need says that a try needs a connection. Idempotent says that it may use a connection that may
	// be silently dead.
	Need struct {
		At         time.Time
		Idempotent bool
	}

	// Dialed says that a dial succeeded; the connection is in use by the try that needed it.
	Dialed struct{ ID ConnID }

	// DialFailed says that a dial ended without a connection.
	DialFailed struct{ ID ConnID }

	// Completed says that a complete response was received on the connection and that it can be
	// used again.
	Completed struct {
		At time.Time
		ID ConnID
	}

	// Closed says that a connection in use was closed. Silent says that it received no
	// byte although one was due.
	Closed struct {
		At     time.Time
		ID     ConnID
		Silent bool
	}

	// Reap says that idle connections are to be looked through.
	Reap struct{ At time.Time }

	// Resized says that the largest number of connections changed.
	Resized struct{ Connections int }
)

// Action is something that the adapter does with a connection.
type Action interface {
	action()
}

type (
	// Reuse answers Need with an idle connection. Proved is false when it may be silently dead.
	Reuse struct {
		ID     ConnID
		Proved bool
	}

	// Prove answers Need with an idle connection that is to be pinged first. It counts as in use.
	Prove struct{ ID ConnID }

	// Dial answers Need with a new connection.
	Dial struct{ ID ConnID }

	// Wait answers Need when a limit is reached: the try needs again after the next change.
	Wait struct{}

	// Close asks to close an idle connection.
	Close struct{ ID ConnID }
)

var (
	_ Event = Need{}
	_ Event = Dialed{}
	_ Event = DialFailed{}
	_ Event = Completed{}
	_ Event = Closed{}
	_ Event = Reap{}
	_ Event = Resized{}

	_ Action = Reuse{}
	_ Action = Prove{}
	_ Action = Dial{}
	_ Action = Wait{}
	_ Action = Close{}
)

func (Reuse) action() {}
func (Prove) action() {}
func (Dial) action()  {}
func (Wait) action()  {}
func (Close) action() {}

func (e Need) apply(p *Pool) {
	fresh := len(p.idle) > 0 && p.fresh(p.idle[len(p.idle)-1], e.At)
	switch {
	case fresh || e.Idempotent && len(p.idle) > 0:
		p.do(Reuse{ID: p.takeIdle(), Proved: fresh})
	case p.Open() < p.limits.Connections && len(p.dialing) < p.limits.Dials:
		p.next++
		p.dialing[p.next] = struct{}{}
		p.do(Dial{ID: p.next})
	case len(p.idle) > 0:
		p.do(Prove{ID: p.takeIdle()})
	default:
		p.do(Wait{})
	}
}

func (e Dialed) apply(p *Pool) {
	if _, ok := p.dialing[e.ID]; !ok {
		return
	}
	delete(p.dialing, e.ID)
	p.busy[e.ID] = struct{}{}
}

func (e DialFailed) apply(p *Pool) { delete(p.dialing, e.ID) }

func (e Completed) apply(p *Pool) {
	if _, ok := p.busy[e.ID]; !ok {
		return
	}
	delete(p.busy, e.ID)
	if p.Open() >= p.limits.Connections {
		p.do(Close{ID: e.ID})
		return
	}
	p.idle = append(p.idle, idle{id: e.ID, proved: e.At})
}

func (e Closed) apply(p *Pool) {
	if _, ok := p.busy[e.ID]; !ok {
		return
	}
	delete(p.busy, e.ID)
	if !e.Silent {
		return
	}
	if e.At.Sub(p.silentSince) > p.limits.Window {
		p.silentSince, p.silent = e.At, 0
	}
	p.silent++
	if p.silent >= p.limits.Silent {
		p.silent = 0
		p.closeIdle(len(p.idle))
	}
}

func (e Reap) apply(p *Pool) {
	n := 0
	for n < len(p.idle) && e.At.Sub(p.idle[n].proved) > p.limits.Idle {
		n++
	}
	p.closeIdle(n)
}

func (e Resized) apply(p *Pool) {
	p.limits.Connections = e.Connections
	p.closeIdle(min(len(p.idle), max(0, p.Open()-e.Connections)))
}
