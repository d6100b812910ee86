// Package pool manages the connections to one backend server: it decides which connection a try uses,
// when a new one is dialed, and when idle ones are closed.
package pool

import "time"

// Limits are the limits and timeouts of a Pool.
type Limits struct {
	// MaxConns is the maximum number of connections, including those being dialed.
	MaxConns int
	// MaxDials is the maximum number of concurrent dials; a new connection costs a server about 1 ms.
	MaxDials int
	// VerifiedTTL is the time after a received response for which a connection counts as verified.
	VerifiedTTL time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxSilent is the number of silent connections within SilentWindow at which all idle ones are
	// closed, because a network fault has probably cut them off too.
	MaxSilent    int
	SilentWindow time.Duration
}

// DefaultLimits returns the limits for a server that accepts at most maxConns connections from this
// instance. A connection that has been idle for more than 1 s may be silently dead, because a device on
// the path may have dropped its state.
func DefaultLimits(maxConns int) Limits {
	return Limits{
		MaxConns:     maxConns,
		MaxDials:     4,
		VerifiedTTL:  time.Second,
		IdleTimeout:  10 * time.Second,
		MaxSilent:    2,
		SilentWindow: 5 * time.Second,
	}
}

// Pool is the state of the connections to one server. It is not safe for concurrent use.
type Pool struct {
	limits Limits
	nextID ConnID
	// idle holds idle connections; the most recently verified one is at the end.
	idle              []idleConn
	busy              map[ConnID]struct{}
	dialing           map[ConnID]struct{}
	silentCount       int
	silentWindowStart time.Time
	actions           []Action
}

// idleConn is one idle connection.
type idleConn struct {
	id         ConnID
	verifiedAt time.Time
}

// New returns a pool without connections.
func New(l Limits) *Pool {
	return &Pool{limits: l, busy: make(map[ConnID]struct{}), dialing: make(map[ConnID]struct{})}
}

// Handle applies the event and returns the actions to be carried out. The result is valid until the
// next call of Handle. ConnRequested returns exactly one action.
func (p *Pool) Handle(ev Event) []Action {
	p.actions = p.actions[:0]
	ev.apply(p)
	return p.actions
}

// Open returns the number of connections, including those being dialed.
func (p *Pool) Open() int { return len(p.idle) + len(p.busy) + len(p.dialing) }

func (p *Pool) addAction(a Action) { p.actions = append(p.actions, a) }

func (p *Pool) isVerified(c idleConn, at time.Time) bool {
	return at.Sub(c.verifiedAt) < p.limits.VerifiedTTL
}

// takeIdle marks the most recently verified idle connection as in use.
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
		p.addAction(CloseConn{ID: c.id})
	}
	p.idle = append(p.idle[:0], p.idle[n:]...)
}
