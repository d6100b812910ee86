package proxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/pool"
)

// dialTimeout bounds a dial. It is below the first retransmission of a SYN after 1 s, so that a call
// moves on to another server while it still has time.
const dialTimeout = 500 * time.Millisecond

// Dialer makes connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// connSet holds the connections to one address. It carries out the decisions of a pool.Pool.
type connSet struct {
	address netip.AddrPort
	dialer  Dialer
	clock   clockwork.Clock

	mu    sync.Mutex
	core  *pool.Pool
	conns map[pool.ConnID]*conn
	size  int
	used  time.Time
	// changed is closed at the next change when waiting is above 0.
	changed chan struct{}
	waiting int
}

func newConnSet(address netip.AddrPort, size int, d Dialer, clock clockwork.Clock) *connSet {
	return &connSet{
		address: address, dialer: d, clock: clock, size: size,
		core: pool.New(pool.DefaultLimits(size)), conns: make(map[pool.ConnID]*conn), changed: make(chan struct{}),
	}
}

// take returns a connection for one call, and whether it is proved alive. It waits while a limit is
// reached.
func (s *connSet) take(ctx context.Context, size int, idempotent bool) (*conn, bool, error) {
	for {
		s.mu.Lock()
		s.resize(size)
		s.used = s.clock.Now()
		switch a := s.core.Handle(pool.ConnRequested{At: s.used, Idempotent: idempotent})[0].(type) {
		case pool.ReuseConn:
			c := s.conns[a.ID]
			s.mu.Unlock()
			c.begin()
			return c, a.Verified, nil
		case pool.DialConn:
			s.mu.Unlock()
			c, err := s.dial(ctx, a.ID)
			return c, true, err
		case pool.VerifyConn:
			c := s.conns[a.ID]
			s.mu.Unlock()
			if c.ping(ctx) {
				c.begin()
				return c, true, nil
			}
			s.discard(c, true)
		default:
			s.waiting++
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, false, context.Cause(ctx)
			}
		}
	}
}

// dial makes a connection. The pool learns the result also when the dialer panics, since the dial would
// count against its limits for good.
func (s *connSet) dial(ctx context.Context, id pool.ConnID) (c *conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if c == nil {
			s.core.Handle(pool.DialFailed{ID: id})
			s.notify()
			return
		}
		s.conns[id] = c
		s.core.Handle(pool.DialSucceeded{ID: id})
	}()
	nc, err := s.dialer.DialContext(ctx, "tcp", s.address.String())
	if err != nil {
		return nil, err
	}
	return newConn(id, nc), nil
}

// put gives back a connection on which a complete response was received.
func (s *connSet) put(c *conn) {
	c.begin()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.do(s.core.Handle(pool.ResponseCompleted{At: s.clock.Now(), ID: c.id}))
	s.notify()
}

// discard closes a connection. It reports whether a byte of the request was handed to it. A connection
// in doubt that received no byte counts as silent.
func (s *connSet) discard(c *conn, doubt bool) (wrote bool) {
	wrote, read := c.seal()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.id)
	s.do(s.core.Handle(pool.ConnClosed{At: s.clock.Now(), ID: c.id, Silent: doubt && wrote && !read}))
	s.notify()
	return wrote
}

// reap closes connections that have been idle for too long, and reports whether none are left and the
// set has not been used for the given time.
func (s *connSet) reap(unused time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.do(s.core.Handle(pool.IdleCheckDue{At: now}))
	s.notify()
	return s.core.Open() == 0 && s.waiting == 0 && now.Sub(s.used) > unused
}

func (s *connSet) resize(size int) {
	if size != s.size {
		s.size = size
		s.do(s.core.Handle(pool.MaxConnsChanged{MaxConns: size}))
	}
}

func (s *connSet) do(actions []pool.Action) {
	for _, a := range actions {
		if a, ok := a.(pool.CloseConn); ok {
			s.conns[a.ID].seal()
			delete(s.conns, a.ID)
		}
	}
}

// notify wakes all tries that wait.
func (s *connSet) notify() {
	if s.waiting > 0 {
		close(s.changed)
		s.changed, s.waiting = make(chan struct{}), 0
	}
}
