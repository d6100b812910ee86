package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/spread"
)

const (
	// dialTimeout is the timeout of a dial. It is far below the retransmission timeout of a lost SYN packet, which
	// leaves a call enough time for another server.
	dialTimeout = 150 * time.Millisecond
	// idleCheckInterval is the time between two searches for connections whose idle timeout has expired.
	idleCheckInterval = time.Second
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// connSets holds the idle connections to all servers. It is safe for concurrent use.
type connSets struct {
	dialer Dialer
	clock  clockwork.Clock
	long   longBodies

	mu   sync.Mutex
	sets map[ident.ServerID]*connSet
}

// connSet holds the idle connections to one server.
type connSet struct {
	idle []*conn
	// open counts all connections, including those in use and those being dialed.
	open int
}

func newConnSets(d Dialer, clock clockwork.Clock) *connSets {
	return &connSets{dialer: d, clock: clock, long: newLongBodies(), sets: make(map[ident.ServerID]*connSet)}
}

func (cs *connSets) set(id ident.ServerID) *connSet {
	s, ok := cs.sets[id]
	if !ok {
		s = new(connSet)
		cs.sets[id] = s
	}
	return s
}

// take returns the most recently used idle connection, or nil.
func (cs *connSets) take(s *spread.Server) *conn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	set := cs.set(s.ID)
	for n := len(set.idle); n > 0; n = len(set.idle) {
		c := set.idle[n-1]
		set.idle = set.idle[:n-1]
		if c.server.Address == s.Address && cs.clock.Now().Before(c.expires) {
			return c
		}
		set.open--
		c.close()
	}
	return nil
}

// put returns a connection to the idle ones, or closes it if it cannot be reused or its server is leaving.
func (cs *connSets) put(c *conn) {
	if c.unusable || c.server.State.Leaving() {
		cs.drop(c)
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.expires = cs.clock.Now().Add(c.idleTimeout)
	set := cs.set(c.server.ID)
	set.idle = append(set.idle, c)
}

// drop closes a connection.
func (cs *connSets) drop(c *conn) {
	c.close()
	cs.release(c.server.ID)
}

func (cs *connSets) release(id ident.ServerID) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.set(id).open--
}

// reserve counts one more connection to the server, and reports whether the limit allows it.
func (cs *connSets) reserve(s *spread.Server) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	set := cs.set(s.ID)
	if set.open >= s.MaxConns {
		return false
	}
	set.open++
	return true
}

// dial opens a connection that was reserved before.
func (cs *connSets) dial(s *spread.Server) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	nc, err := cs.dialer.DialContext(ctx, "tcp", s.Address.String())
	if err != nil {
		cs.release(s.ID)
		return nil, err
	}
	return newConn(s, nc, cs.long), nil
}

// closeIdle closes the connections whose idle timeout has expired, and those to servers that are leaving.
func (cs *connSets) closeIdle(now time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for id, set := range cs.sets {
		keep := set.idle[:0]
		for _, c := range set.idle {
			if now.Before(c.expires) && !c.server.State.Leaving() {
				keep = append(keep, c)
				continue
			}
			set.open--
			c.close()
		}
		set.idle = keep
		if set.open == 0 {
			delete(cs.sets, id)
		}
	}
}

// close closes all idle connections.
func (cs *connSets) close() { cs.closeIdle(cs.clock.Now().Add(time.Hour)) }
