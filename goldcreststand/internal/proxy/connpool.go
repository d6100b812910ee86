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

// dialTimeout is below the first SYN retransmission after 1 s, which leaves a call time to retry on another
// server.
const dialTimeout = 500 * time.Millisecond

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// connPool holds the connections to one address and carries out the decisions of a pool.Pool.
type connPool struct {
	address netip.AddrPort
	dialer  Dialer
	clock   clockwork.Clock

	mu       sync.Mutex
	core     *pool.Pool
	conns    map[pool.ConnID]*conn
	maxConns int
	lastUsed time.Time
	// changed is closed at the next change of the pool when waiters is above 0.
	changed chan struct{}
	waiters int
}

func newConnPool(address netip.AddrPort, maxConns int, d Dialer, clock clockwork.Clock) *connPool {
	return &connPool{
		address: address, dialer: d, clock: clock, maxConns: maxConns,
		core: pool.New(pool.DefaultLimits(maxConns)), conns: make(map[pool.ConnID]*conn), changed: make(chan struct{}),
	}
}

// acquire returns a connection for one call and whether it is verified to be alive. It waits while a connection
// limit is reached.
func (p *connPool) acquire(ctx context.Context, maxConns int, idempotent bool) (*conn, bool, error) {
	for {
		p.mu.Lock()
		p.setMaxConns(maxConns)
		p.lastUsed = p.clock.Now()
		switch a := p.core.Handle(pool.ConnRequested{At: p.lastUsed, Idempotent: idempotent})[0].(type) {
		case pool.ReuseConn:
			c := p.conns[a.ID]
			p.mu.Unlock()
			c.resetActivity()
			return c, a.Verified, nil
		case pool.DialConn:
			p.mu.Unlock()
			c, err := p.dial(ctx, a.ID)
			return c, true, err
		case pool.VerifyConn:
			c := p.conns[a.ID]
			p.mu.Unlock()
			if c.ping(ctx) {
				c.resetActivity()
				return c, true, nil
			}
			p.discard(c, true)
		default:
			p.waiters++
			changed := p.changed
			p.mu.Unlock()
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, false, context.Cause(ctx)
			}
		}
	}
}

// dial opens a connection. The result is recorded even if the dialer panics; otherwise the dial would count
// against the limits of the pool forever.
func (p *connPool) dial(ctx context.Context, id pool.ConnID) (c *conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if c == nil {
			p.core.Handle(pool.DialFailed{ID: id})
			p.notifyWaiters()
			return
		}
		p.conns[id] = c
		p.core.Handle(pool.DialSucceeded{ID: id})
	}()
	nc, err := p.dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		return nil, err
	}
	return newConn(id, nc), nil
}

// release returns a connection to the pool after a complete response.
func (p *connPool) release(c *conn) {
	c.resetActivity()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConns(p.core.Handle(pool.ResponseCompleted{At: p.clock.Now(), ID: c.id}))
	p.notifyWaiters()
}

// discard closes a connection and reports whether a byte of the request was written to it. An unverified
// connection on which a request was written but no byte was received counts as silent.
func (p *connPool) discard(c *conn, unverified bool) (wrote bool) {
	wrote, received := c.shutdown()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c.id)
	p.closeConns(p.core.Handle(pool.ConnClosed{At: p.clock.Now(), ID: c.id, Silent: unverified && wrote && !received}))
	p.notifyWaiters()
	return wrote
}

// closeIdle closes connections that have been idle for too long. It reports whether the pool is empty and has
// been unused for longer than unusedTTL.
func (p *connPool) closeIdle(unusedTTL time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.closeConns(p.core.Handle(pool.IdleCheckDue{At: now}))
	p.notifyWaiters()
	return p.core.Open() == 0 && p.waiters == 0 && now.Sub(p.lastUsed) > unusedTTL
}

func (p *connPool) setMaxConns(maxConns int) {
	if maxConns != p.maxConns {
		p.maxConns = maxConns
		p.closeConns(p.core.Handle(pool.MaxConnsChanged{MaxConns: maxConns}))
	}
}

func (p *connPool) closeConns(actions []pool.Action) {
	for _, a := range actions {
		if a, ok := a.(pool.CloseConn); ok {
			p.conns[a.ID].shutdown()
			delete(p.conns, a.ID)
		}
	}
}

// notifyWaiters wakes all tries that wait for a connection.
func (p *connPool) notifyWaiters() {
	if p.waiters > 0 {
		close(p.changed)
		p.changed, p.waiters = make(chan struct{}), 0
	}
}
