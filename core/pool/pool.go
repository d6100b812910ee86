// Package pool decides about the connections to one backend server: which one a try uses, when a new
// one is dialed, and when idle ones are closed.
package pool

import "time"

// Limits are the limits of a Pool.
type Limits struct {
	// Connections is the largest number of connections, those being dialed included.
	Connections int
	// Dials is the largest number of concurrent dials; a new connection costs a server about 1 ms.
	Dials int
	// Fresh is the time after a received response for which a connection counts as proved alive.
	Fresh time.Duration
	// Idle is the time after which an idle connection is closed.
	Idle time.Duration
	// Silent is the number of silent connections within Window after which all idle ones are closed,
	// because a network event has probably cut them all off.
	Silent int
	Window time.Duration
}

// DefaultLimits returns the limits for a server that can hold the number of connections for us. A
// connection that has been idle for more than 1 s may be silently dead: something between its ends
// may have lost track of it.
func DefaultLimits(connections int) Limits {
	return Limits{
		Connections: connections,
		Dials:       4,
		Fresh:       time.Second,
		Idle:        10 * time.Second,
		Silent:      2,
		Window:      5 * time.Second,
	}
}

// Pool is the state of the connections to one server. It is not safe for concurrent use.
type Pool struct {
	limits Limits
	next   ConnID
	// idle holds idle connections; the one proved last is at the end.
	idle        []idle
	busy        map[ConnID]struct{}
	dialing     map[ConnID]struct{}
	silent      int
	silentSince time.Time
	out         []Action
}

// idle is one idle connection.
type idle struct {
	id     ConnID
	proved time.Time
}

// New returns a pool without connections.
func New(l Limits) *Pool {
	return &Pool{limits: l, busy: make(map[ConnID]struct{}), dialing: make(map[ConnID]struct{})}
}

// Handle applies the event and returns what is to be done. The result is valid until the next call of
// Handle. Need returns exactly one action.
func (p *Pool) Handle(ev Event) []Action {
	p.out = p.out[:0]
	ev.apply(p)
	return p.out
}

// Open returns the number of connections, those being dialed included.
func (p *Pool) Open() int { return len(p.idle) + len(p.busy) + len(p.dialing) }

func (p *Pool) do(a Action) { p.out = append(p.out, a) }

func (p *Pool) fresh(c idle, at time.Time) bool { return at.Sub(c.proved) < p.limits.Fresh }

// takeIdle moves the connection proved last to those in use.
func (p *Pool) takeIdle() ConnID {
	n := len(p.idle) - 1
	id := p.idle[n].id
	p.idle = p.idle[:n]
	p.busy[id] = struct{}{}
	return id
}

// closeIdle closes the n connections that have been idle for the longest time.
func (p *Pool) closeIdle(n int) {
	for _, c := range p.idle[:n] {
		p.do(Close{ID: c.id})
	}
	p.idle = append(p.idle[:0], p.idle[n:]...)
}
