package pool

import "time"

// ConnID identifies a connection to one server.
type ConnID uint64

// Event is an input to a Pool: a request for a connection or a change of the connections of a server.
type Event interface {
	apply(p *Pool)
}

type (
	// ConnRequested requests a connection for a try. Idempotent allows the use of an idle connection
	// that may be silently dead.
	ConnRequested struct {
		At         time.Time
		Idempotent bool
	}

	// DialSucceeded reports a successful dial; the connection is in use by the try that requested it.
	DialSucceeded struct{ ID ConnID }

	// DialFailed reports that a dial ended without a connection.
	DialFailed struct{ ID ConnID }

	// ResponseCompleted reports that a complete response was received on the connection and that it can
	// be reused.
	ResponseCompleted struct {
		At time.Time
		ID ConnID
	}

	// ConnClosed reports that a connection in use was closed. Silent is set when it received no byte
	// although a response was expected.
	ConnClosed struct {
		At     time.Time
		ID     ConnID
		Silent bool
	}

	// IdleCheckDue requests a check for connections that have exceeded the idle timeout.
	IdleCheckDue struct{ At time.Time }

	// MaxConnsChanged reports a new maximum number of connections.
	MaxConnsChanged struct{ MaxConns int }
)

// Action is an instruction to the owner of the connections.
type Action interface {
	action()
}

type (
	// ReuseConn answers ConnRequested with an idle connection. Verified is false when it may be
	// silently dead.
	ReuseConn struct {
		ID       ConnID
		Verified bool
	}

	// VerifyConn answers ConnRequested with an idle connection that must be pinged first. It counts as
	// in use.
	VerifyConn struct{ ID ConnID }

	// DialConn answers ConnRequested with a connection to be dialed.
	DialConn struct{ ID ConnID }

	// WaitForChange answers ConnRequested when a limit is reached: the try requests again after the
	// next change.
	WaitForChange struct{}

	// CloseConn closes an idle connection.
	CloseConn struct{ ID ConnID }
)

var (
	_ Event = ConnRequested{}
	_ Event = DialSucceeded{}
	_ Event = DialFailed{}
	_ Event = ResponseCompleted{}
	_ Event = ConnClosed{}
	_ Event = IdleCheckDue{}
	_ Event = MaxConnsChanged{}

	_ Action = ReuseConn{}
	_ Action = VerifyConn{}
	_ Action = DialConn{}
	_ Action = WaitForChange{}
	_ Action = CloseConn{}
)

func (ReuseConn) action()     {}
func (VerifyConn) action()    {}
func (DialConn) action()      {}
func (WaitForChange) action() {}
func (CloseConn) action()     {}

func (e ConnRequested) apply(p *Pool) {
	verified := len(p.idle) > 0 && p.isVerified(p.idle[len(p.idle)-1], e.At)
	switch {
	case verified || e.Idempotent && len(p.idle) > 0:
		p.addAction(ReuseConn{ID: p.takeIdle(), Verified: verified})
	case p.Open() < p.limits.MaxConns && len(p.dialing) < p.limits.MaxDials:
		p.nextID++
		p.dialing[p.nextID] = struct{}{}
		p.addAction(DialConn{ID: p.nextID})
	case len(p.idle) > 0:
		p.addAction(VerifyConn{ID: p.takeIdle()})
	default:
		p.addAction(WaitForChange{})
	}
}

func (e DialSucceeded) apply(p *Pool) {
	if _, ok := p.dialing[e.ID]; !ok {
		return
	}
	delete(p.dialing, e.ID)
	p.busy[e.ID] = struct{}{}
}

func (e DialFailed) apply(p *Pool) { delete(p.dialing, e.ID) }

func (e ResponseCompleted) apply(p *Pool) {
	if _, ok := p.busy[e.ID]; !ok {
		return
	}
	delete(p.busy, e.ID)
	if p.Open() >= p.limits.MaxConns {
		p.addAction(CloseConn{ID: e.ID})
		return
	}
	p.idle = append(p.idle, idleConn{id: e.ID, verifiedAt: e.At})
}

func (e ConnClosed) apply(p *Pool) {
	if _, ok := p.busy[e.ID]; !ok {
		return
	}
	delete(p.busy, e.ID)
	if !e.Silent {
		return
	}
	if e.At.Sub(p.silentWindowStart) > p.limits.SilentWindow {
		p.silentWindowStart, p.silentCount = e.At, 0
	}
	p.silentCount++
	if p.silentCount >= p.limits.MaxSilent {
		p.silentCount = 0
		p.closeIdle(len(p.idle))
	}
}

func (e IdleCheckDue) apply(p *Pool) {
	n := 0
	for n < len(p.idle) && e.At.Sub(p.idle[n].verifiedAt) > p.limits.IdleTimeout {
		n++
	}
	p.closeIdle(n)
}

func (e MaxConnsChanged) apply(p *Pool) {
	p.limits.MaxConns = e.MaxConns
	p.closeIdle(min(len(p.idle), max(0, p.Open()-e.MaxConns)))
}
